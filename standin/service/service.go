// Package service is a stand-in for a plain application service. It counts how
// often it ran each request, so that a test sees from outside when a request ran
// twice.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/standin/internal/listen"
)

// Service is one stand-in. Set the exported fields before Handler is called.
type Service struct {
	Delay       time.Duration // before an answer, after the request was counted
	AnswerBytes int           // size of the answer at least
	CrashOn     string        // a body with this text ends the process once it was counted

	mu     sync.Mutex
	counts map[string]int
}

const (
	maxBody     = 64 << 20 // bytes
	crashStatus = 3
)

type answer struct {
	OrderID string `json:"order_id"`
	Run     int    `json:"run"` // how often the request has run
	Padding string `json:"padding,omitempty"`
}

type namedBody struct {
	OrderID string `json:"order_id"`
}

type count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	s.counts = make(map[string]int)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /count", s.serveCount)
	mux.HandleFunc("GET /counts", s.serveCounts)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		listen.WriteFailure(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	name := orderID(r, body)
	run := s.run(name)
	if s.CrashOn != "" && bytes.Contains(body, []byte(s.CrashOn)) {
		os.Exit(crashStatus)
	}
	time.Sleep(s.Delay)
	listen.WriteJSON(w, http.StatusOK, answer{name, run, strings.Repeat("x", s.AnswerBytes)})
}

// orderID names the request: by its header, by its body's field, or else by a
// hash of path and body.
func orderID(r *http.Request, body []byte) string {
	if name := r.Header.Get("X-Order-Id"); name != "" {
		return name
	}
	var named namedBody
	if json.Unmarshal(body, &named) == nil && named.OrderID != "" {
		return named.OrderID
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s\n%s", r.Method, r.URL.RequestURI(), body)
	return fmt.Sprintf("%016x", h.Sum64())
}

func (s *Service) run(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
	return s.counts[name]
}

func (s *Service) serveCount(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("name")
	listen.WriteJSON(w, http.StatusOK, count{name, s.counts[name]})
}

func (s *Service) serveCounts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listen.WriteJSON(w, http.StatusOK, s.counts)
}

// Command is the subcommand that runs one service.
func Command() *cli.Command {
	s := &Service{}
	return &cli.Command{
		Name:  "service",
		Usage: "stand in for a plain application service",
		Flags: []cli.Flag{
			listen.Flag(),
			&cli.DurationFlag{Name: "delay", Destination: &s.Delay, Usage: "wait before an answer"},
			&cli.IntFlag{Name: "answer_bytes", Destination: &s.AnswerBytes, Usage: "size of an answer at least"},
			&cli.StringFlag{Name: "crash_on", Destination: &s.CrashOn, Usage: "exit with status 3 upon a body with this text"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return listen.Serve(ctx, cmd.Root().Writer, cmd.String("listen"), s.Handler())
		},
	}
}
