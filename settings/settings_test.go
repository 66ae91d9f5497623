package settings_test

import (
	"fmt"

	"github.com/bamboostep/bamboostep/settings"
)

type exampleSettings struct {
	Name string            `toml:"name"`
	Wait settings.Duration `toml:"wait"`
}

func (s *exampleSettings) Check() []settings.Problem {
	if s.Name == "" {
		return []settings.Problem{{Key: "name", Issue: "is missing"}}
	}
	return nil
}

func ExampleParse() {
	var s exampleSettings
	fmt.Println(settings.Parse("a.toml", []byte("nam = 'x'\nwait = '1s'\nport = 2\n"), &s))
	fmt.Println(settings.Parse("a.toml", []byte("wait = '1s'\n"), &s))
	fmt.Println(settings.Parse("a.toml", []byte("wait = 'soon'\n"), &s))
	fmt.Println(settings.Parse("a.toml", []byte("name = 'x'\nwait = '250ms'\n"), &s), s.Wait)
	// Output:
	// a.toml:1: key "nam" is unknown
	// a.toml:3: key "port" is unknown
	// a.toml: key "name" is missing
	// a.toml:1: key "wait" is invalid: toml: "soon" is not a duration such as "1.5s"
	// <nil> 250ms
}
