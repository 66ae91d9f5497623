// Package cluster starts the real programs as a small deployment on loopback, for
// the demonstration and for scenarios.
//
// Entries and agents each have a loopback address of their own, so that a relay
// before each listener can tell who dials and cut any pair of processes apart.
// Agents and their backend servers are on one VM and are never cut.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/scenario/relay"
)

const (
	servicePlace      = "libro"
	defaultDeployment = "campanas"
)

var (
	failureDomains = []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"}
	smallPlace     = bamboostep.Place{Name: "taller", MemoryMiB: 16000, FailureDomains: failureDomains}
)

// Cluster is a deployment under test. Set the exported fields before Start.
type Cluster struct {
	Bin         string           // folder of the built programs
	Dir         string           // folder for settings, data and logs
	Entries     int              // in failure domains in turn
	Engines     int              // model engines, each with an agent
	Services    int              // application services, each with an agent
	EngineArgs  []string         // more arguments for every engine
	ServiceArgs []string         // more arguments for every service
	EntryLines  []string         // more lines at the head of every entry's settings
	AgentLines  []string         // more lines at the head of every agent's settings
	Deployment  string           // whose store to stand in for; campanas if empty
	EnginePlace bamboostep.Place // of the engines; a small one if it has no name
	Direct      bool             // without relays, so that nothing can be cut
	Regions     []string         // of the entries and backend servers, in turn; none if empty
	Voters      int              // the first so many entries; all if 0
	Descriptors int              // that each entry and agent may have open; 0 for no limit of their own

	ctx       context.Context
	processes map[string]*Process
	order     []string
	relays    map[string]*relay.Relay // by the process behind it
	sources   map[string]string       // loopback address of each entry and agent
	domains   map[string]string       // failure domain of each process that has one
	regions   map[string]string       // of each entry and agent
	callers   map[string]string       // by entry
	operators map[string]string       // by entry
	backends  map[string]string       // by engine or service
	admins    map[string]string       // by agent
	listens   map[string]string       // by entry or agent, for the system's other processes
	storeURL  string
	listURL   string
	vms       []bamboostep.VM
}

// UnknownProcessError says that no process has the name.
type UnknownProcessError struct{ Name string }

// Error implements error.
func (e *UnknownProcessError) Error() string { return fmt.Sprintf("no process is named %q", e.Name) }

// Start writes the settings and starts every process. Relays end with ctx;
// processes are ended by Stop.
func (c *Cluster) Start(ctx context.Context) error {
	c.ctx = ctx
	if c.EnginePlace.Name == "" {
		c.EnginePlace = smallPlace
	}
	if c.Deployment == "" {
		c.Deployment = defaultDeployment
	}
	c.processes = make(map[string]*Process)
	c.relays = make(map[string]*relay.Relay)
	c.sources = make(map[string]string)
	c.domains = make(map[string]string)
	c.regions = make(map[string]string)
	c.callers = make(map[string]string)
	c.operators = make(map[string]string)
	c.backends = make(map[string]string)
	c.admins = make(map[string]string)
	c.listens = make(map[string]string)
	steps := []func() error{c.addStore, c.addBackends, c.addPlatform, c.addEntries}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	for _, name := range c.order {
		if err := c.processes[name].Start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) add(name, program string, args ...string) {
	c.processes[name] = &Process{Name: name, Path: filepath.Join(c.Bin, program), Args: args, Dir: c.Dir}
	c.order = append(c.order, name)
}

func (c *Cluster) addStore() error {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	c.storeURL = "http://" + address
	c.add("store", "standin", "store", "--listen", address, "--deployment", c.Deployment)
	return nil
}

func (c *Cluster) addBackends() error {
	for i := range c.Engines {
		args := append([]string{"--store", c.storeURL, "--memory_mib", fmt.Sprint(c.EnginePlace.MemoryMiB)}, c.EngineArgs...)
		if err := c.addBackend("engine", c.EnginePlace.Name, i, args); err != nil {
			return err
		}
	}
	for i := range c.Services {
		if err := c.addBackend("service", servicePlace, c.Engines+i, c.ServiceArgs); err != nil {
			return err
		}
	}
	return nil
}

// addBackend adds a backend server, its agent and the relay before the agent.
func (c *Cluster) addBackend(kind, place string, i int, args []string) error {
	number := i + 1
	if kind == "service" {
		number = i + 1 - c.Engines
	}
	name := fmt.Sprintf("%s-%d", kind, number)
	vm := fmt.Sprintf("%s-%d", place, number)
	backend, err := freeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	c.backends[name] = backend
	c.domains[name] = c.backendDomain(i)
	c.add(name, "standin", append([]string{kind, "--listen", backend}, args...)...)
	return c.addAgent(vm, place, kind, backend, i)
}

// backendDomain returns the failure domain of the ith backend server.
func (c *Cluster) backendDomain(i int) string {
	domains := c.EnginePlace.FailureDomains
	return domains[i%len(domains)]
}

func (c *Cluster) addAgent(vm, place, kind, backend string, i int) error {
	name := "agent-" + vm
	source := fmt.Sprintf("127.0.2.%d", i+1)
	addresses, err := freeAddresses(source, "127.0.0.1")
	if err != nil {
		return err
	}
	c.sources[name] = source
	c.regions[name] = c.region(i)
	c.admins[name] = addresses[1]
	c.listens[name] = addresses[0]
	domain := c.backendDomain(i)
	c.domains[name] = domain
	if kind == "service" {
		kind = "application"
	}
	lines := append(slices.Clone(c.AgentLines),
		fmt.Sprintf("name = %q", vm),
		fmt.Sprintf("place = %q", place),
		fmt.Sprintf("failure_domain = %q", domain),
		fmt.Sprintf("listen = %q", addresses[0]),
		fmt.Sprintf("admin = %q", addresses[1]),
		fmt.Sprintf("kind = %q", kind),
		fmt.Sprintf("backend_url = %q", "http://"+backend),
	)
	if kind == "engine" {
		lines = append(lines, fmt.Sprintf("memory_mib = %d", c.EnginePlace.MemoryMiB))
	}
	front, err := c.addRelay(name, addresses[0])
	if err != nil {
		return err
	}
	c.vms = append(c.vms, bamboostep.VM{Name: vm, Address: front, Place: place, FailureDomain: domain, Region: c.region(i), State: bamboostep.VMLive})
	return c.addWithSettings(name, "agent", lines)
}

func (c *Cluster) addPlatform() error {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	file := filepath.Join(c.Dir, "vms.json")
	c.listURL = "http://" + address + "/vms"
	c.add("platform", "standin", "platform", "--listen", address, "--file", file)
	return c.writeList()
}

func (c *Cluster) writeList() error {
	data, err := json.MarshalIndent(c.vms, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(c.Dir, "vms.json")
	if err := os.WriteFile(file+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// region returns the region of the ith process of its kind.
func (c *Cluster) region(i int) string {
	if len(c.Regions) == 0 {
		return ""
	}
	return c.Regions[i%len(c.Regions)]
}

func (c *Cluster) isVoter(i int) bool { return c.Voters == 0 || i < c.Voters }

// SetVMState changes the platform's word on one VM.
func (c *Cluster) SetVMState(vm string, state bamboostep.VMState) error {
	for i := range c.vms {
		if c.vms[i].Name == vm {
			c.vms[i].State = state
			return c.writeList()
		}
	}
	return &UnknownProcessError{vm}
}

func (c *Cluster) addEntries() error {
	var peers []string
	listens := make([]string, c.Entries)
	for i := range c.Entries {
		name := entryName(i)
		source := fmt.Sprintf("127.0.1.%d", i+1)
		listen, err := freeAddress(source)
		if err != nil {
			return err
		}
		front, err := c.addRelay(name, listen)
		if err != nil {
			return err
		}
		listens[i] = listen
		c.sources[name] = source
		c.domains[name] = failureDomains[i%len(failureDomains)]
		c.regions[name] = c.region(i)
		peers = append(peers, "[[peer]]", fmt.Sprintf("name = %q", name), fmt.Sprintf("address = %q", front),
			fmt.Sprintf("failure_domain = %q", failureDomains[i%len(failureDomains)]),
			fmt.Sprintf("region = %q", c.region(i)), fmt.Sprintf("voter = %v", c.isVoter(i)))
	}
	for i, listen := range listens {
		if err := c.addEntry(i, listen, peers); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addEntry(i int, listen string, peers []string) error {
	name := entryName(i)
	addresses, err := freeAddresses("127.0.0.1", "127.0.0.1")
	if err != nil {
		return err
	}
	c.callers[name] = addresses[0]
	c.operators[name] = addresses[1]
	c.listens[name] = listen
	lines := append(slices.Clone(c.EntryLines),
		fmt.Sprintf("name = %q", name),
		fmt.Sprintf("failure_domain = %q", failureDomains[i%len(failureDomains)]),
		fmt.Sprintf("callers = %q", addresses[0]),
		fmt.Sprintf("operators = %q", addresses[1]),
		fmt.Sprintf("listen = %q", listen),
		fmt.Sprintf("platform_url = %q", c.listURL),
		fmt.Sprintf("region = %q", c.region(i)),
	)
	if c.isVoter(i) {
		lines = append(lines, fmt.Sprintf("data_dir = %q", c.DataDir(name)))
	}
	return c.addWithSettings(name, "entry", append(lines, peers...))
}

// DataDir returns the data folder of an entry.
func (c *Cluster) DataDir(entry string) string { return filepath.Join(c.Dir, entry+".data") }

func (c *Cluster) addWithSettings(name, program string, lines []string) error {
	file := filepath.Join(c.Dir, name+".toml")
	var text []byte
	for _, line := range lines {
		text = append(text, line...)
		text = append(text, '\n')
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	c.add(name, program, "--settings", file)
	c.processes[name].Descriptors = c.Descriptors
	return nil
}

func (c *Cluster) addRelay(name, target string) (string, error) {
	if c.Direct {
		return target, nil
	}
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &relay.Relay{Target: target, Net: nl}
	c.relays[name] = r
	go r.Run(c.ctx)
	return r.Address(), nil
}

// Process returns the named process.
func (c *Cluster) Process(name string) (*Process, error) {
	p := c.processes[name]
	if p == nil {
		return nil, &UnknownProcessError{name}
	}
	return p, nil
}

// Names returns the names of all processes, in the order they start.
func (c *Cluster) Names() []string { return slices.Clone(c.order) }

// Domain returns the failure domain of a process, or "" if it has none.
func (c *Cluster) Domain(name string) string { return c.domains[name] }

// InDomain returns the processes of a failure domain, in the order they start.
func (c *Cluster) InDomain(domain string) []string {
	return slices.DeleteFunc(c.Names(), func(name string) bool { return c.domains[name] != domain })
}

// EntryNames returns the names of the entries.
func (c *Cluster) EntryNames() []string { return slices.Sorted(maps.Keys(c.callers)) }

// CallersURL returns the base URL that callers of an entry use.
func (c *Cluster) CallersURL(entry string) string { return "http://" + c.callers[entry] }

// OperatorsURL returns the base URL that operators of an entry use.
func (c *Cluster) OperatorsURL(entry string) string { return "http://" + c.operators[entry] }

// ListenAddress returns the address at which an entry or agent listens for the system's other processes, behind its relay if there is one.
func (c *Cluster) ListenAddress(name string) string { return c.listens[name] }

// AdminAddress returns the address of an agent's admin endpoints.
func (c *Cluster) AdminAddress(agent string) string { return c.admins[agent] }

// EntryAddress returns the address at which the other entries reach an entry.
func (c *Cluster) EntryAddress(entry string) (string, error) {
	r := c.relays[entry]
	if r == nil {
		return "", &UnknownProcessError{entry}
	}
	return r.Address(), nil
}

// BackendURL returns the base URL of a model engine or application service.
func (c *Cluster) BackendURL(name string) string { return "http://" + c.backends[name] }

// StoreURL returns the base URL of the weight store.
func (c *Cluster) StoreURL() string { return c.storeURL }

// Cut silences the network between two entries, or an entry and an agent.
func (c *Cluster) Cut(a, b string) error {
	return c.eachWay(a, b, (*relay.Relay).Cut)
}

// Heal lets new connections between the two through.
func (c *Cluster) Heal(a, b string) error {
	return c.eachWay(a, b, (*relay.Relay).Heal)
}

// Silence makes the open connections between the two silent for good, while new
// ones work.
func (c *Cluster) Silence(a, b string) error {
	return c.eachWay(a, b, (*relay.Relay).Silence)
}

// CutRegions silences the network between two regions.
func (c *Cluster) CutRegions(a, b string) error { return c.eachAcross(a, b, c.Cut) }

// HealRegions lets new connections between two regions through.
func (c *Cluster) HealRegions(a, b string) error { return c.eachAcross(a, b, c.Heal) }

// eachAcross applies do to every pair of an entry of one region and an entry or agent
// of the other.
func (c *Cluster) eachAcross(a, b string, do func(a, b string) error) error {
	for _, entry := range c.EntryNames() {
		for name, region := range c.regions {
			if c.regions[entry] == region || !slices.Contains([]string{a, b}, c.regions[entry]) || !slices.Contains([]string{a, b}, region) {
				continue
			}
			if err := do(entry, name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) eachWay(a, b string, do func(r *relay.Relay, source string)) error {
	for _, name := range []string{a, b} {
		if c.relays[name] == nil {
			return &UnknownProcessError{name}
		}
	}
	do(c.relays[a], c.sources[b])
	do(c.relays[b], c.sources[a])
	return nil
}

// Stop ends every process, by ID.
func (c *Cluster) Stop() {
	for _, name := range slices.Backward(c.order) {
		c.processes[name].Kill()
	}
}

func entryName(i int) string { return "entry-" + string(rune('a'+i)) }
