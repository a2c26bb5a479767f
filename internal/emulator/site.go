package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/chatprompt"
	"ringstream.example/ringstream/internal/wait"
)

// SiteRun is one request that the other site was given.
type SiteRun struct {
	At             time.Time `json:"at"`
	PromptHash     uint64    `json:"prompt_hash"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Hop            bool      `json:"hop"`
	// Repeat: the key had been seen, and the earlier answer was given again.
	Repeat bool `json:"repeat"`
	// Forwarded: handed to our site and not run here.
	Forwarded bool `json:"forwarded"`
}

// Site is the other site: an OpenAI-shaped API with the text that our engines
// make. A request under a key that it has seen is not run again.
type Site struct {
	Faults *Faults

	stepTime time.Duration
	client   *http.Client

	mu        sync.Mutex
	runs      []SiteRun
	seen      map[string]bool // idempotency keys
	forwardTo string
}

// NewSite makes the other site; it makes a token every stepTime.
func NewSite(seed uint64, stepTime time.Duration) *Site {
	return &Site{
		Faults: newFaults("site", seed, FaultSettings{}), stepTime: stepTime,
		client: &http.Client{}, seen: map[string]bool{},
	}
}

// Handler is the other site's callers' API.
func (s *Site) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.Faults.wrap("completions", s.serve))
	mux.HandleFunc("POST /v1/chat/completions", s.Faults.wrap("chat_completions", s.serve))
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	s.Faults.admin(mux)
	return mux
}

// ForwardTo has requests without a hop mark handed to our site's base URL;
// empty: none.
func (s *Site) ForwardTo(base string, transport http.RoundTripper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwardTo = strings.TrimRight(base, "/")
	s.client = &http.Client{Transport: transport}
}

// Runs gives the requests that came, oldest first.
func (s *Site) Runs() []SiteRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]SiteRun(nil), s.runs...)
}

// siteRequest is the part of an OpenAI request that matters here.
type siteRequest struct {
	Model               string               `json:"model"`
	Prompt              string               `json:"prompt"`
	MaxTokens           int                  `json:"max_tokens"`
	MaxCompletionTokens int                  `json:"max_completion_tokens"`
	Stream              bool                 `json:"stream"`
	Messages            []chatprompt.Message `json:"messages"`
}

// prompt gives the text that the model sees.
func (r siteRequest) prompt() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	return chatprompt.Join(r.Messages)
}

func (r siteRequest) tokens() int {
	const defaultTokens = 16
	for _, tokens := range []int{r.MaxTokens, r.MaxCompletionTokens} {
		if tokens > 0 {
			return tokens
		}
	}
	return defaultTokens
}

func (s *Site) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var request siteRequest
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, backend.CodeInvalid, err.Error())
		return
	}
	target, client := s.record(r, request)
	if target != "" {
		s.forward(w, r, body, target, client)
		return
	}
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	tokens := ExpectedTokens(request.Model, request.prompt(), request.tokens())
	if request.Stream {
		s.writeStream(w, r, request.Model, tokens, chat)
		return
	}
	if wait.For(r.Context(), time.Duration(len(tokens))*s.stepTime) {
		text := strings.Join(tokens, "")
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"id":"other-site","object":%q,"created":%d,"model":%q,"choices":[{"index":0,%s,"finish_reason":"length"}],`+
			`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
			object(chat, false), time.Now().Unix(), request.Model, choice(chat, "message", text),
			backend.PromptTokens(request.prompt()), len(tokens), backend.PromptTokens(request.prompt())+len(tokens))
	}
}

// record notes a request; a target is given when it is handed on.
func (s *Site) record(r *http.Request, request siteRequest) (target string, client *http.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := SiteRun{
		At: time.Now(), PromptHash: PromptHash(request.Model, request.prompt()),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), Hop: r.Header.Get(backend.HopHeader) != "",
	}
	run.Forwarded = s.forwardTo != "" && !run.Hop
	if run.IdempotencyKey != "" && !run.Forwarded {
		run.Repeat = s.seen[run.IdempotencyKey]
		s.seen[run.IdempotencyKey] = true
	}
	s.runs = append(s.runs, run)
	if run.Forwarded {
		return s.forwardTo, s.client
	}
	return "", nil
}

// forward hands a request to our site, marked so that it does not come back.
func (s *Site) forward(w http.ResponseWriter, r *http.Request, body []byte, target string, client *http.Client) {
	outgoing, err := http.NewRequestWithContext(r.Context(), http.MethodPost, target+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		refuse(w, http.StatusBadGateway, backend.CodeUnavailable, err.Error())
		return
	}
	outgoing.Header = r.Header.Clone()
	outgoing.Header.Set(backend.HopHeader, "1")
	response, err := client.Do(outgoing)
	if err != nil {
		panic(http.ErrAbortHandler) // whether it ran is not known
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body) // the caller may have gone
}

func (s *Site) writeStream(w http.ResponseWriter, r *http.Request, model string, tokens []string, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i, token := range tokens {
		if !wait.For(r.Context(), s.stepTime) {
			return
		}
		finish := "null"
		if i == len(tokens)-1 {
			finish = `"length"`
		}
		_, err := fmt.Fprintf(w, `data: {"id":"other-site","object":%q,"created":%d,"model":%q,"choices":[{"index":0,%s,"finish_reason":%s}]}`+"\n\n",
			object(chat, true), time.Now().Unix(), model, choice(chat, "delta", token), finish)
		if err != nil || flush.Flush() != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // the caller may have gone
}

func object(chat, stream bool) string {
	switch {
	case chat && stream:
		return "chat.completion.chunk"
	case chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// choice gives the field that holds the text; vocabulary words need no escapes.
func choice(chat bool, field, text string) string {
	if chat {
		return fmt.Sprintf(`%q:{"role":"assistant","content":%q}`, field, text)
	}
	return fmt.Sprintf(`"text":%q`, text)
}
