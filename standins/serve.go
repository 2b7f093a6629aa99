package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// announce prints the address on which a stand-in listens, so that a script that requested port 0 can read the actual port.
func announce(address string) { fmt.Printf("listening address=%s\n", address) }

// waitForSignal blocks until SIGINT or SIGTERM arrives.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}

// serve listens on address and serves HTTP requests with handler until SIGINT or SIGTERM arrives.
func serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address) //nolint:noctx // the listener lives as long as the process
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	announce(l.Addr().String())
	waitForSignal()
	return server.Close()
}
