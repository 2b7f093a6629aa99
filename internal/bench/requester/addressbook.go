package requester

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/bench/generator"
)

// addressBook caches the node addresses of each team until they expire.
type addressBook struct {
	client *http.Client
	seeds  []string
	mu     sync.Mutex
	teams  map[string]addressEntry
}

// addressEntry is one cached response.
type addressEntry struct {
	urls    []string
	expires time.Time
}

func newAddressBook(client *http.Client, seeds []string) *addressBook {
	return &addressBook{client: client, seeds: seeds, teams: map[string]addressEntry{}}
}

// Pick returns the node URL for an arrival, chosen from the team's addresses by arrival number. When no seed returns addresses, it uses the
// seeds.
func (b *addressBook) Pick(ctx context.Context, a generator.Arrival) string {
	b.mu.Lock()
	entry, ok := b.teams[a.Team.Name]
	b.mu.Unlock()
	if !ok || time.Now().After(entry.expires) {
		entry = b.fetch(ctx, a)
		b.mu.Lock()
		b.teams[a.Team.Name] = entry
		b.mu.Unlock()
	}
	return entry.urls[a.Number%len(entry.urls)]
}

// Invalidate removes the addresses of a team, so that the next request fetches them again.
func (b *addressBook) Invalidate(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.teams, team)
}

// addresses is the response of GET /v1/addresses. ExpiresIn is in seconds.
type addresses struct {
	Addresses []struct{ URL string }
	ExpiresIn float64
}

// fetch returns the addresses from the first seed that returns any, or the seeds themselves, already expired, when none does.
func (b *addressBook) fetch(ctx context.Context, a generator.Arrival) addressEntry {
	for i := range b.seeds {
		seed := b.seeds[(a.Number+i)%len(b.seeds)]
		if entry, ok := b.fetchFrom(ctx, seed, a.Team.Token); ok {
			return entry
		}
	}
	return addressEntry{urls: b.seeds}
}

// fetchTimeout is the timeout of one request for addresses.
const fetchTimeout = 2 * time.Second

func (b *addressBook) fetchFrom(ctx context.Context, seed, token string) (addressEntry, bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, seed+"/v1/addresses", http.NoBody)
	if err != nil {
		return addressEntry{}, false
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := b.client.Do(request)
	if err != nil {
		return addressEntry{}, false
	}
	defer func() { _ = response.Body.Close() }()
	var answer addresses
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return addressEntry{}, false
	}
	entry := addressEntry{expires: time.Now().Add(time.Duration(answer.ExpiresIn * float64(time.Second)))}
	for _, address := range answer.Addresses {
		entry.urls = append(entry.urls, address.URL)
	}
	return entry, true
}
