package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/backend"
)

func TestWrongRequestsNameTheField(t *testing.T) {
	server := startServer(t, withOnline(answerWith("x")))
	cases := map[string]string{
		`{"model":"scribe","prompt":"x","temperature":2.5}`:            `"temperature"`,
		`{"model":"scribe","prompt":"x","temperature":"hot"}`:          `"temperature"`,
		`{"model":"scribe","prompt":"x","top_p":-0.1}`:                 `"top_p"`,
		`{"model":"scribe","prompt":"x","seed":1.5}`:                   `"seed"`,
		`{"model":"scribe","prompt":"x","n":2}`:                        `"n"`,
		`{"model":"scribe","prompt":"x","wavelength":2}`:               `"wavelength"`,
		`{"model":"scribe"}`:                                           `"prompt"`,
		`{"prompt":"x"}`:                                               `"model"`,
		`{"model":"scribe","prompt":["a","b"]}`:                        `"prompt"`,
		`{"model":"scribe","prompt":"x","max_tokens":99999999}`:        `"max_tokens"`,
		`{"model":"scribe","prompt":"x","stop":["a","b","c","d","e"]}`: `"stop"`,
		`{"model":"scribe","prompt":"x","stream_options":{"x":1}}`:     `"stream_options"`,
		`[]`: `object`,
		`{"model":"scribe","messages":[{"role":"tool","content":"x"}]}`:                         `"messages"`,
		`{"model":"scribe","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`:      `"messages"`,
		`{"model":"scribe","messages":[{"role":"user","content":"x"}],"tools":[{"type":"fn"}]}`: `"tools"`,
	}
	for body, named := range cases {
		path := "/v1/completions"
		if strings.Contains(body, "messages") {
			path = "/v1/chat/completions"
		}
		response, text := server.post(t, path, body)
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(text, strings.ReplaceAll(named, `"`, `\"`)) {
			t.Errorf("%s: %d %s", body, response.StatusCode, text)
		}
	}
	if response, text := server.post(t, "/v1/completions", `{"model":"other","prompt":"x"}`); response.StatusCode != http.StatusNotFound {
		t.Errorf("no row: %d %s", response.StatusCode, text)
	}
}

func TestSamplingReachesTheDispatcher(t *testing.T) {
	temperature, seed := 0.2, int64(7)
	want := backend.Sampling{Temperature: &temperature, Seed: &seed}
	request, err := parseGeneration([]byte(`{"model":"m","prompt":"x","temperature":0.2,"seed":7,"top_p":null}`), false)
	if diff := cmp.Diff(want, request.sampling); err != nil || diff != "" {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}
