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

// SiteRun is one request that the other site received.
type SiteRun struct {
	At             time.Time `json:"at"`
	PromptHash     uint64    `json:"prompt_hash"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Hop            bool      `json:"hop"`
	// Repeat means that the key was seen before: the same answer is returned, and
	// the request counts as not run again.
	Repeat bool `json:"repeat"`
	// Forwarded means that the request was forwarded to our site and not run here.
	Forwarded bool `json:"forwarded"`
}

// Site emulates the other site with an OpenAI-compatible API that returns the
// same text as our engines. A request with an idempotency key seen before counts
// as a repeat that is not run again.
type Site struct {
	Faults *Faults

	tokenInterval time.Duration
	client        *http.Client

	mu        sync.Mutex
	runs      []SiteRun
	seenKeys  map[string]bool // idempotency keys
	forwardTo string
}

// NewSite returns the other site. It generates a token every tokenInterval.
func NewSite(seed uint64, tokenInterval time.Duration) *Site {
	return &Site{
		Faults: newFaults("site", seed, FaultSettings{}), tokenInterval: tokenInterval,
		client: &http.Client{}, seenKeys: map[string]bool{},
	}
}

// Handler returns the other site's API for callers.
func (s *Site) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.Faults.wrap("completions", s.serve))
	mux.HandleFunc("POST /v1/chat/completions", s.Faults.wrap("chat_completions", s.serve))
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	s.Faults.registerAdmin(mux)
	return mux
}

// ForwardTo makes the site forward requests without a hop header to our site's
// base URL. An empty URL turns forwarding off.
func (s *Site) ForwardTo(base string, transport http.RoundTripper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwardTo = strings.TrimRight(base, "/")
	s.client = &http.Client{Transport: transport}
}

// Runs returns the requests received, oldest first.
func (s *Site) Runs() []SiteRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]SiteRun(nil), s.runs...)
}

// siteRequest holds the fields of an OpenAI request that the site uses.
type siteRequest struct {
	Model               string               `json:"model"`
	Prompt              string               `json:"prompt"`
	MaxTokens           int                  `json:"max_tokens"`
	MaxCompletionTokens int                  `json:"max_completion_tokens"`
	Stream              bool                 `json:"stream"`
	Messages            []chatprompt.Message `json:"messages"`
}

// prompt returns the prompt text for the model.
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
	if wait.For(r.Context(), time.Duration(len(tokens))*s.tokenInterval) {
		text := strings.Join(tokens, "")
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"id":"other-site","object":%q,"created":%d,"model":%q,"choices":[{"index":0,%s,"finish_reason":"length"}],`+
			`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
			objectType(chat, false), time.Now().Unix(), request.Model, choiceField(chat, "message", text),
			backend.PromptTokens(request.prompt()), len(tokens), backend.PromptTokens(request.prompt())+len(tokens))
	}
}

// record stores a request. It returns a target and client if the request is to be
// forwarded.
func (s *Site) record(r *http.Request, request siteRequest) (target string, client *http.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := SiteRun{
		At: time.Now(), PromptHash: PromptHash(request.Model, request.prompt()),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), Hop: r.Header.Get(backend.HopHeader) != "",
	}
	run.Forwarded = s.forwardTo != "" && !run.Hop
	if run.IdempotencyKey != "" && !run.Forwarded {
		run.Repeat = s.seenKeys[run.IdempotencyKey]
		s.seenKeys[run.IdempotencyKey] = true
	}
	s.runs = append(s.runs, run)
	if run.Forwarded {
		return s.forwardTo, s.client
	}
	return "", nil
}

// forward sends a request to our site, with a hop header so that it is not sent back.
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
		panic(http.ErrAbortHandler) // it is unknown whether the request ran
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body) // the caller may have disconnected
}

func (s *Site) writeStream(w http.ResponseWriter, r *http.Request, model string, tokens []string, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i, token := range tokens {
		if !wait.For(r.Context(), s.tokenInterval) {
			return
		}
		finish := "null"
		if i == len(tokens)-1 {
			finish = `"length"`
		}
		_, err := fmt.Fprintf(w, `data: {"id":"other-site","object":%q,"created":%d,"model":%q,"choices":[{"index":0,%s,"finish_reason":%s}]}`+"\n\n",
			objectType(chat, true), time.Now().Unix(), model, choiceField(chat, "delta", token), finish)
		if err != nil || flush.Flush() != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // the caller may have disconnected
}

func objectType(chat, stream bool) string {
	switch {
	case chat && stream:
		return "chat.completion.chunk"
	case chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// choiceField returns the field that holds the text. Words of the vocabulary need no escapes.
func choiceField(chat bool, field, text string) string {
	if chat {
		return fmt.Sprintf(`%q:{"role":"assistant","content":%q}`, field, text)
	}
	return fmt.Sprintf(`"text":%q`, text)
}
