package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// refusalCode matches the places in the source that name the code of a refusal.
var refusalCode = regexp.MustCompile(`(?:clientError\(|GiveUp\(|refusal\(|RequestError\{Status: )http\.Status\w+, (?:Code: )?"([a-z_]+)"`)

// Every error code that callers can receive is documented for operators.
func TestRefusalCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	const leastCodes = 20 // fewer codes mean that the pattern no longer matches the source
	found := 0
	for _, pattern := range []string{"*.go", "../dispatch/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			found += checkRefusalCodes(t, file, string(page))
		}
	}
	if found < leastCodes {
		t.Errorf("got %d codes in the sources, want %d or more", found, leastCodes)
	}
}

func checkRefusalCodes(t *testing.T, file, page string) int {
	if strings.HasSuffix(file, "_test.go") {
		return 0
	}
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	codes := refusalCode.FindAllSubmatch(source, -1)
	for _, m := range codes {
		if code := string(m[1]); !strings.Contains(page, "`"+code+"`") {
			t.Errorf("%s: code %q is not in docs/OPERATIONS.md", file, code)
		}
	}
	return len(codes)
}
