package reporter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/sync/errgroup"
)

// maxFetches bounds the number of concurrent requests.
const maxFetches = 16

// Fetch requests the reports of nodes with an operator's token and merges them. urls are the base URLs of the nodes. The merged report covers
// the nodes that responded; the error names the others.
func Fetch(ctx context.Context, client *http.Client, urls []string, token string) (Report, error) {
	reports, failures := make([]Report, len(urls)), make([]error, len(urls))
	var group errgroup.Group
	group.SetLimit(maxFetches)
	for i, url := range urls {
		group.Go(func() error {
			reports[i], failures[i] = fetch(ctx, client, url, token)
			return nil
		})
	}
	_ = group.Wait()
	return Merge(reports...), errors.Join(failures...)
}

func fetch(ctx context.Context, client *http.Client, url, token string) (report Report, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+"/report", nil)
	if err != nil {
		return Report{}, fmt.Errorf("fetch report: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := client.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("fetch report: %w", err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("fetch report: %s responded with %s", url, response.Status)
	}
	return Decode(response.Body)
}
