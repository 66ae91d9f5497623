package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/dghubble/sling"

	"github.com/bamboostep/bamboostep"
)

// httpPlatform reads the platform's list of VMs over HTTP.
type httpPlatform struct {
	URL    string
	Client *http.Client
}

// VMs implements bamboostep.Platform.
func (p *httpPlatform) VMs(ctx context.Context) ([]bamboostep.VM, error) {
	req, err := sling.New().Get(p.URL).Request()
	if err != nil {
		return nil, err
	}
	var vms []bamboostep.VM
	resp, err := sling.New().Client(p.Client).Do(req.WithContext(ctx), &vms, nil)
	if err != nil {
		return nil, fmt.Errorf("platform list %q: %w", p.URL, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("platform list %q: status %d", p.URL, resp.StatusCode)
	}
	return vms, nil
}

var _ bamboostep.Platform = (*httpPlatform)(nil)
