// Package store is a stand-in for the weight store. It is limited like the
// deployments' stores: so many loads go on at full speed, and beyond that all of
// them slow down in proportion.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/standin/internal/listen"
)

// Limits are the rates of one deployment's store.
type Limits struct {
	ModelLoad        time.Duration // of one model at full speed
	ModelsAtOnce     int           // at full speed
	AdapterLoadLeast time.Duration
	AdapterLoadMost  time.Duration
	AdaptersAtOnce   int // at full speed
}

// Deployments holds the limits of each deployment's store by its name. A model
// takes as long as gives the deployment's loads a second when as many go on as
// run at full speed.
var Deployments = map[string]Limits{
	"canaletas": {2 * time.Second, 2, 5 * time.Millisecond, 7 * time.Millisecond, 16},
	"campanas":  {1500 * time.Millisecond, 3, 5 * time.Millisecond, 10 * time.Millisecond, 24},
}

// slices is the number of parts that a load is done in; its speed is looked at
// anew before each.
const slices = 8

// Store is one stand-in. Set the exported fields before Handler is called.
type Store struct {
	Limits Limits
	Seed   uint64

	mu       sync.Mutex
	random   *rand.Rand
	slow     float64
	models   gauge
	adapters gauge
}

// gauge counts loads in flight.
type gauge struct{ now, peak, done int }

type stats struct {
	ModelsPeak   int `json:"models_peak"`
	ModelsDone   int `json:"models_done"`
	AdaptersPeak int `json:"adapters_peak"`
	AdaptersDone int `json:"adapters_done"`
}

type slowRequest struct {
	Factor float64 `json:"factor"`
}

type weights struct {
	Version string `json:"version"`
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	s.slow = 1
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{version}", s.serveWeights)
	mux.HandleFunc("GET /stats", s.serveStats)
	mux.HandleFunc("POST /slow", s.serveSlow)
	return mux
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	gauge, limit := &s.models, s.Limits.ModelsAtOnce
	if r.URL.Query().Get("kind") == "adapter" {
		gauge, limit = &s.adapters, s.Limits.AdaptersAtOnce
	}
	part := s.begin(gauge) / slices
	defer s.end(gauge)
	for range slices {
		select {
		case <-time.After(s.stretched(part, gauge, limit)):
		case <-r.Context().Done():
			return
		}
	}
	listen.WriteJSON(w, http.StatusOK, weights{r.PathValue("version")})
}

// begin counts a load in and returns its time at full speed.
func (s *Store) begin(g *gauge) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.now++
	g.peak = max(g.peak, g.now)
	if g == &s.models {
		return s.Limits.ModelLoad
	}
	spread := int64(s.Limits.AdapterLoadMost - s.Limits.AdapterLoadLeast)
	return s.Limits.AdapterLoadLeast + time.Duration(s.random.Int64N(spread+1))
}

func (s *Store) end(g *gauge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.now--
	g.done++
}

// stretched returns how long a part takes with the loads in flight at present.
func (s *Store) stretched(part time.Duration, g *gauge, limit int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	crowd := max(1, float64(g.now)/float64(limit))
	return time.Duration(float64(part) * crowd * s.slow)
}

func (s *Store) serveStats(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listen.WriteJSON(w, http.StatusOK, stats{s.models.peak, s.models.done, s.adapters.peak, s.adapters.done})
}

func (s *Store) serveSlow(w http.ResponseWriter, r *http.Request) {
	var req slowRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Factor <= 0 {
		listen.WriteFailure(w, http.StatusBadRequest, "bad_request", "factor must be above 0")
		return
	}
	s.mu.Lock()
	s.slow = req.Factor
	s.mu.Unlock()
	listen.WriteJSON(w, http.StatusOK, req)
}

// Command is the subcommand that runs one store.
func Command() *cli.Command {
	s := &Store{}
	return &cli.Command{
		Name:  "store",
		Usage: "stand in for the weight store",
		Flags: []cli.Flag{
			listen.Flag(),
			&cli.StringFlag{Name: "deployment", Value: "canaletas", Usage: "whose limits to have: canaletas or campanas"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &s.Seed, Usage: "seed of the adapters' load times"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			limits, ok := Deployments[cmd.String("deployment")]
			if !ok {
				return fmt.Errorf("deployment %q is unknown", cmd.String("deployment"))
			}
			s.Limits = limits
			return listen.Serve(ctx, cmd.Root().Writer, cmd.String("listen"), s.Handler())
		},
	}
}
