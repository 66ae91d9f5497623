// Package platform is a stand-in for the platform's list of live and leaving VMs,
// which lags behind the truth.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/standin/internal/listen"
)

// Platform is one stand-in. Set the exported fields before Handler is called.
type Platform struct {
	File string        // JSON list of VMs, read upon each request; none if empty
	Lag  time.Duration // answers are as of this long ago

	mu     sync.Mutex
	lists  []list // oldest first; the first is what an answer shows
	posted bool   // a list was set over HTTP, and File is read no more
}

// list is the list of VMs from a time on.
type list struct {
	since time.Time
	vms   []bamboostep.VM
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", p.serveVMs)
	mux.HandleFunc("POST /vms", p.serveReplace)
	return mux
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if err := p.read(now); err != nil {
		listen.WriteFailure(w, http.StatusInternalServerError, "bad_file", err.Error())
		return
	}
	listen.WriteJSON(w, http.StatusOK, p.asOf(now.Add(-p.Lag)))
}

// read takes in the file if it differs from the newest list.
func (p *Platform) read(now time.Time) error {
	if p.File == "" || p.posted {
		return nil
	}
	text, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	var vms []bamboostep.VM
	if err := json.Unmarshal(text, &vms); err != nil {
		return err
	}
	p.add(now, vms)
	return nil
}

func (p *Platform) add(now time.Time, vms []bamboostep.VM) {
	if n := len(p.lists); n == 0 || !equal(p.lists[n-1].vms, vms) {
		p.lists = append(p.lists, list{now, vms})
	}
}

func equal(a, b []bamboostep.VM) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// asOf returns the newest list that is as old as at, or else the oldest.
func (p *Platform) asOf(at time.Time) []bamboostep.VM {
	for len(p.lists) > 1 && !p.lists[1].since.After(at) {
		p.lists = p.lists[1:]
	}
	if len(p.lists) == 0 {
		return []bamboostep.VM{}
	}
	return p.lists[0].vms
}

func (p *Platform) serveReplace(w http.ResponseWriter, r *http.Request) {
	vms := []bamboostep.VM{}
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		listen.WriteFailure(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.posted = true
	p.add(time.Now(), vms)
	listen.WriteJSON(w, http.StatusOK, vms)
}

// Command is the subcommand that runs one platform list.
func Command() *cli.Command {
	p := &Platform{}
	return &cli.Command{
		Name:  "platform",
		Usage: "stand in for the platform's list of VMs",
		Flags: []cli.Flag{
			listen.Flag(),
			&cli.StringFlag{Name: "file", Destination: &p.File, Usage: "JSON list of VMs, read upon each request"},
			&cli.DurationFlag{Name: "lag", Destination: &p.Lag, Usage: "answer as of this long ago"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return listen.Serve(ctx, cmd.Root().Writer, cmd.String("listen"), p.Handler())
		},
	}
}
