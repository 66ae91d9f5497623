// Package listen holds what every stand-in does alike: it listens, prints the
// address it was given in one line, and serves HTTP until it is told to stop.
package listen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/daemon"
)

const (
	headerTimeout = 5 * time.Second
	closeGrace    = 10 * time.Second
)

// Flag is the flag that names the address to listen on.
func Flag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "host and port to listen on; port 0 takes a free one"}
}

// Serve listens on the address, writes "listening ADDRESS" to w and serves h
// until SIGTERM or the end of ctx.
func Serve(ctx context.Context, w io.Writer, address string, h http.Handler) error {
	ctx, stop := daemon.SignalContext(ctx)
	defer stop()
	nl, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "listening %s\n", nl.Addr())
	return daemon.ServeHTTP(ctx, nl, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}, closeGrace)
}

// Failure is the body of an answer that reports a failure.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// WriteJSON answers with status and v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// WriteFailure answers with status and a Failure.
func WriteFailure(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, Failure{code, message})
}
