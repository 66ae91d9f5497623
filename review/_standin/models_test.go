package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Models as the deployment sheet of cobreplata lists them.
var (
	modelSmall    = modelSpec{"daka510000", 16100, 32, 14, 1.2, 0.35, 0.27}
	modelLarge    = modelSpec{"rada7437b5", 34300, 12, 40, 2, 0.51, 0.39}
	modelReplaced = modelSpec{"ravo486f6a", 34300, 12, 40, 2, 0.51, 0.39}
	modelNew      = modelSpec{"nymi57a71f", 34300, 12, 40, 2, 0.51, 0.39}
)

func catalogOf(models ...modelSpec) map[string]modelSpec {
	all := make(map[string]modelSpec)
	for _, m := range models {
		all[m.name] = m
	}
	return all
}

// threeEngines starts three workers, each with some models.
func (s *system) threeEngines(catalog map[string]modelSpec, held [3][]string) ([]*engine, error) {
	var engines []*engine
	for i, zone := range []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"} {
		e := s.newEngine(101+i, zone, catalog)
		if err := e.start(held[i]...); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	s.listEngines(engines)
	return engines, nil
}

// replacedModel publishes a configuration in which one model has made way for another of the same size.
func replacedModel(s *system, trouble bool) error {
	catalog := catalogOf(modelSmall, modelLarge, modelReplaced, modelNew)
	engines, err := s.threeEngines(catalog, [3][]string{
		{modelSmall.name, modelLarge.name},
		{modelLarge.name, modelReplaced.name},
		{modelSmall.name, modelReplaced.name},
	})
	if err != nil {
		return err
	}
	d, err := s.start(3, engines)
	if err != nil {
		return err
	}
	if err := s.publish(d.voters, engineConfig(1, 15000, modelSmall, modelLarge, modelReplaced), 10*time.Second); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	answers := make(chan answer, 1000)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 12 {
		clients.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := stream(d.entries[n%3], "/pufi791/2f", modelSmall.name, 826, 292, 15*time.Second, nil)
				s.record.printf("client: %s", a)
				answers <- a
			}
		})
	}
	time.Sleep(4 * time.Second)
	second := engineConfig(2, 15000, modelSmall, modelLarge, modelNew)
	if !trouble {
		second = engineConfig(2, 14000, modelSmall, modelLarge, modelReplaced)
	}
	if err := s.publish(d.voters, second, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(15 * time.Second)
	close(stop)
	clients.Wait()
	close(answers)
	cut, whole := 0, 0
	for a := range answers {
		switch {
		case a.cut:
			cut++
		case a.whole:
			whole++
		}
	}
	overloads := 0
	for _, e := range engines {
		e.mu.Lock()
		overloads += e.overloads
		e.mu.Unlock()
	}
	s.record.printf("orders to load more than a worker holds: %d; streams broken off: %d, whole: %d", overloads, cut, whole)
	if whole == 0 {
		return fmt.Errorf("no stream was served")
	}
	if overloads > 0 {
		return errBroken
	}
	return nil
}

// withdrawnModel publishes a configuration without a model for whose adapters callers go on asking.
func withdrawnModel(s *system, trouble bool) error {
	catalog := catalogOf(modelSmall, modelLarge)
	both := []string{modelSmall.name, modelLarge.name}
	engines, err := s.threeEngines(catalog, [3][]string{both, both, both})
	if err != nil {
		return err
	}
	d, err := s.start(3, engines)
	if err != nil {
		return err
	}
	if err := s.publish(d.voters, engineConfig(1, 15000, modelSmall, modelLarge), 10*time.Second); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	counts := make(map[string]int)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		clients.Go(func() {
			model := modelSmall
			if i%3 == 0 {
				model = modelLarge
			}
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				name := fmt.Sprintf("%s/a%d", model.name, 1+n%model.adapters)
				a := stream(d.entries[n%3], "/pufi791/2f", name, 826, 32, 5*time.Second, nil)
				s.record.printf("client: %s asks for %s", a, name)
				key := fmt.Sprintf("%s: %d %s", model.name, a.status, strings.SplitN(a.reason, "\n", 2)[0])
				if a.cut {
					key += " broken off"
				}
				mu.Lock()
				counts[key]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	second := engineConfig(2, 15000, modelSmall)
	if !trouble {
		second = engineConfig(2, 14000, modelSmall, modelLarge)
	}
	if err := s.publish(d.voters, second, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(25 * time.Second)
	close(stop)
	clients.Wait()
	for key, n := range counts {
		s.record.printf("answers %s: %d", key, n)
	}
	machines, ends := 0, 0
	for _, h := range d.holders {
		s.record.printf("%s ended by itself %d times", h.name(), h.ends())
		ends += h.ends()
		if h.ends() >= 3 {
			machines++
		}
	}
	for _, p := range append(append([]*process{}, d.voters...), d.entries...) {
		if p.ends() > 0 {
			s.record.printf("%s ended by itself %d times", p.name(), p.ends())
		}
	}
	s.record.printf("machines whose process ended by itself three times: %d of %d in use", machines, len(d.entries)+len(d.holders))
	if machines >= 2 {
		return errBroken
	}
	return nil
}
