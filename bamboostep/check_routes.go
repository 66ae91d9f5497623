package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/route"
)

// The check of a file of routes before it is sent to the users' platform. It needs no running system,
// unless the routes in force are asked of a voter to compare with.

const (
	routesSuffix   = ".json"
	maxRoutesBytes = 4 << 20         // of a voter's answer
	routesTimeout  = 3 * time.Second // for a voter's answer
)

// routesOutput is the result of the check.
type routesOutput struct {
	Revision uint64          `json:"revision"`
	Findings []route.Finding `json:"findings"`
	Against  *uint64         `json:"against_revision,omitempty"`
	Changes  []route.Change  `json:"changes,omitempty"`
}

// refusedError says that the system would refuse the routes, or that they are not newer than those in force.
type refusedError struct{ errors int }

func (e *refusedError) Error() string {
	return fmt.Sprintf("the routes would be refused: %d errors", e.errors)
}

// voterError says that a voter did not tell the routes in force.
type voterError struct {
	voter string
	cause error
}

func (e *voterError) Error() string {
	return fmt.Sprintf("voter %s does not tell the routes in force: %v", e.voter, e.cause)
}

func (e *voterError) Unwrap() error { return e.cause }

func checkVoter(address string) error { return checkEntries([]string{address}) }

// checkRoutes checks the file that cmd names. The exit status says whether the system would take it; warnings alone do
// not change that.
func checkRoutes(ctx context.Context, cmd *cli.Command) error {
	out, err := findRoutes(ctx, cmd)
	w := cmd.Root().Writer
	asJSON := cmd.String("output") == outputJSON
	if err != nil {
		if asJSON {
			return showError(w, err)
		}
		return err
	}
	if asJSON {
		err = json.NewEncoder(w).Encode(out)
	} else {
		writeRoutes(w, out)
	}
	if err != nil {
		return err
	}
	if n := out.errors(); n > 0 {
		refused := &refusedError{n}
		if asJSON {
			return &shownError{refused}
		}
		return refused
	}
	return nil
}

// errors counts the findings that are errors.
func (o routesOutput) errors() int {
	n := 0
	for _, f := range o.Findings {
		if f.Severity == route.SeverityError {
			n++
		}
	}
	return n
}

func findRoutes(ctx context.Context, cmd *cli.Command) (routesOutput, error) {
	file, err := oneArgument(cmd, "file")
	if err != nil {
		return routesOutput{}, err
	}
	table, err := readRoutes(file)
	if err != nil {
		return routesOutput{}, err
	}
	out := routesOutput{Revision: table.Revision, Findings: table.Findings()}
	old, err := routesToCompare(ctx, cmd)
	if err != nil || old == nil {
		return out, err
	}
	out.Against = &old.Revision
	out.Changes = table.ChangesFrom(*old)
	if table.Revision <= old.Revision && len(out.Changes) > 0 {
		out.Findings = append(out.Findings, route.Finding{
			Severity: route.SeverityError, Code: "version_not_higher", Object: "table",
			Detail: fmt.Sprintf("version %d is not above %d, so it would change nothing", table.Revision, old.Revision),
		})
	}
	return out, nil
}

// routesToCompare returns the routes that the flags name, or nil if they name none.
func routesToCompare(ctx context.Context, cmd *cli.Command) (*route.Table, error) {
	file, voter := cmd.String("against"), cmd.String("voter")
	if file == "" && voter == "" {
		return nil, nil
	}
	if file != "" && voter != "" {
		return nil, &usageProblem{"--against and --voter exclude each other"}
	}
	read := func() (route.Table, error) { return readRoutes(file) }
	if voter != "" {
		read = func() (route.Table, error) { return fetchRoutes(ctx, voter) }
	}
	t, err := read()
	return &t, err
}

func readRoutes(file string) (route.Table, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return route.Table{}, err
	}
	t, err := platform.ParseRoutes(data)
	if err != nil {
		return route.Table{}, fmt.Errorf("file %q: %w", file, err)
	}
	return t, nil
}

// fetchRoutes asks a voter for the routes in force.
func fetchRoutes(ctx context.Context, voter string) (route.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, routesTimeout)
	defer cancel()
	method, path, _ := strings.Cut(platform.PatternReadRoutes, " ")
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(voter, "/")+path, nil)
	if err != nil {
		return route.Table{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return route.Table{}, &voterError{voter, err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return route.Table{}, &voterError{voter, errors.New(resp.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRoutesBytes))
	if err != nil {
		return route.Table{}, &voterError{voter, err}
	}
	return platform.ParseRoutes(data)
}

func writeRoutes(w io.Writer, o routesOutput) {
	for _, f := range o.Findings {
		fmt.Fprintln(w, f)
	}
	if o.Against != nil {
		fmt.Fprintf(w, "compared with version %d: %d changes\n", *o.Against, len(o.Changes))
	}
	for _, c := range o.Changes {
		fmt.Fprintln(w, c)
	}
	if len(o.Findings) == 0 {
		fmt.Fprintf(w, "ok: version %d\n", o.Revision)
	}
}
