package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/bamboostep/bamboostep/operator"
)

// Runs asks a service stand-in how often it ran the named request.
func (c *Cluster) Runs(ctx context.Context, service, name string) (int, error) {
	var count struct {
		Count int `json:"count"`
	}
	err := getJSON(ctx, c.BackendURL(service)+"/count?name="+url.QueryEscape(name), &count)
	return count.Count, err
}

// EngineStats is an engine stand-in's own account.
type EngineStats struct {
	Started   int   `json:"started"` // attempts that it began to generate
	Running   int   `json:"running"` // attempts that it generates now
	PeakMiB   int64 `json:"peak_mib"`
	MemoryMiB int64 `json:"memory_mib"`
}

// Stats asks an engine stand-in for its memory peak.
func (c *Cluster) Stats(ctx context.Context, engine string) (EngineStats, error) {
	var stats EngineStats
	err := getJSON(ctx, c.BackendURL(engine)+"/stats", &stats)
	return stats, err
}

// Revision asks an entry which revision it has in force.
func (c *Cluster) Revision(ctx context.Context, entry string) (uint64, error) {
	status, err := c.Status(ctx, entry)
	return status.Revision, err
}

// Leader asks an entry who leads the ledger.
func (c *Cluster) Leader(ctx context.Context, entry string) (string, error) {
	status, err := c.Status(ctx, entry)
	return status.Leader, err
}

// Status asks an entry for the state of the system.
func (c *Cluster) Status(ctx context.Context, entry string) (operator.Status, error) {
	var status operator.Status
	err := getJSON(ctx, c.OperatorsURL(entry)+"/operator/v1/status", &status)
	return status, err
}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
