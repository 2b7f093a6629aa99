package main

import (
	"time"

	"damaskpick.example/damaskpick/internal/emulation/responder"
)

// serviceCommand runs a stand-in of a service other than a model engine.
type serviceCommand struct {
	Listen       string        `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
	Delay        time.Duration `long:"delay" default:"20ms" description:"Duration of a call"`
	ColdRequests int           `long:"cold-requests" default:"8" description:"Completed calls that end a cold start; 0 for no cold start"`
	ColdLimit    int           `long:"cold-limit" default:"2" description:"Maximum number of concurrent calls during a cold start; one more crashes the service"`
	DownTime     time.Duration `long:"down-time" default:"1s" description:"How long connections are refused after a crash"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	service, stop, err := responder.NewService(responder.ServiceOptions{
		Address: c.Listen, Delay: c.Delay, ColdRequests: c.ColdRequests, ColdLimit: c.ColdLimit, DownTime: c.DownTime,
	})
	if err != nil {
		return err
	}
	defer stop()
	announce(service.Address())
	waitForSignal()
	return nil
}
