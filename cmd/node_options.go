package cmd

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/operator/requester"
)

// credentialVariable names the environment variable with an operator's credential. There is no flag for the credential
// itself, because other users of the instance can read command lines.
const credentialVariable = "DAMASKPICK_CREDENTIAL"

// nodeOptions are the flags for requests to a node.
type nodeOptions struct {
	Node           string         `long:"node" short:"n" env:"DAMASKPICK_NODE" value-name:"URL" description:"Base URL of a node's caller or peer address"`
	CredentialFile flags.Filename `long:"credential-file" value-name:"FILE" description:"File with the operator's credential; the default is the variable DAMASKPICK_CREDENTIAL"`
	CAFile         flags.Filename `long:"ca-file" value-name:"FILE" description:"PEM file with the CA of the node's certificate"`
	CertFile       flags.Filename `long:"cert-file" value-name:"FILE" description:"PEM file with the client certificate that a peer address needs"`
	KeyFile        flags.Filename `long:"key-file" value-name:"FILE" description:"PEM file with the key of the client certificate"`
	Timeout        time.Duration  `long:"timeout" default:"15s" value-name:"DURATION" description:"Longest time for one request"`
}

func (o nodeOptions) requester() (*requester.Requester, error) {
	if o.Node == "" {
		return nil, &flags.Error{Type: flags.ErrRequired, Message: "the required flag `-n, --node' was not specified"}
	}
	credential := os.Getenv(credentialVariable)
	if o.CredentialFile != "" {
		data, err := os.ReadFile(string(o.CredentialFile))
		if err != nil {
			return nil, fmt.Errorf("read credential: %w", err)
		}
		credential = string(data)
	}
	return requester.New(requester.Options{
		URL: o.Node, Credential: strings.TrimSpace(credential), Timeout: o.Timeout,
		CAFile: string(o.CAFile), CertFile: string(o.CertFile), KeyFile: string(o.KeyFile),
	})
}
