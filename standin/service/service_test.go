package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestRunsAreCountedByName(t *testing.T) {
	s := httptest.NewServer((&Service{AnswerBytes: 10}).Handler())
	defer s.Close()
	post := func(header, body string) answer {
		t.Helper()
		req, _ := http.NewRequest(http.MethodPost, s.URL+"/orders", strings.NewReader(body))
		if header != "" {
			req.Header.Set("X-Order-Id", header)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var a answer
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		return a
	}
	tests := map[string]struct{ header, body, want string }{
		"by header": {"a", `{"order_id":"x"}`, "a"},
		"by field":  {"", `{"order_id":"b"}`, "b"},
		"by body":   {"", `copper`, ""},
	}
	for name, tt := range tests {
		first, second := post(tt.header, tt.body), post(tt.header, tt.body)
		if first.Run != 1 || second.Run != 2 || tt.want != "" && first.OrderID != tt.want || first.OrderID != second.OrderID {
			t.Errorf("%s: got %+v, then %+v", name, first, second)
		}
	}
}
