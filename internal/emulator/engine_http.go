package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	attempt := wire.PathAttempts + "{id}"
	mux.HandleFunc("POST "+wire.PathGenerate, e.Faults.wrap("generate", e.serveGenerate))
	mux.HandleFunc("GET "+attempt+wire.SuffixStream, e.Faults.wrap("resume", e.serveResume))
	mux.HandleFunc("POST "+attempt+wire.SuffixCancel, e.Faults.wrap("cancel", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, e.cancel(r.PathValue("id")))
	}))
	mux.HandleFunc("GET "+attempt+wire.SuffixKV, e.Faults.wrap("export_kv", e.serveExport))
	mux.HandleFunc("POST "+wire.PathImportKV, e.Faults.wrap("import_kv", e.serveImport))
	mux.HandleFunc("GET "+wire.PathLoad, e.Faults.wrap("load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.publishedLoad(time.Now()))
	}))
	mux.HandleFunc("GET "+wire.PathCacheEvents, e.Faults.wrap("cache_events", func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // absent: from the start
		writeJSON(w, wire.CacheEvents{Events: e.cacheEvents(since, time.Now())})
	}))
	mux.HandleFunc("POST "+wire.PathOrders, e.Faults.wrap("order", e.serveOrder))
	e.Faults.registerAdmin(mux)
	mux.HandleFunc("GET /admin/ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Ledger()) })
	mux.HandleFunc("GET /admin/usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Usage()) })
	mux.HandleFunc("POST /admin/leaving", func(_ http.ResponseWriter, r *http.Request) {
		e.SetLeaving(r.URL.Query().Get("leaving") != "false")
	})
	return mux
}

// refusalStatus maps the code of a refusal to its HTTP status.
var refusalStatus = map[backend.ErrorCode]int{
	backend.CodeNotFound:  http.StatusNotFound,
	backend.CodeFenced:    http.StatusConflict,
	backend.CodeSaturated: http.StatusTooManyRequests,
	backend.CodeNotLoaded: http.StatusConflict,
	backend.CodeLeaving:   http.StatusServiceUnavailable,
	backend.CodeInvalid:   http.StatusBadRequest,
}

func writeRefusal(w http.ResponseWriter, err error) {
	var refused *refusal
	if !errors.As(err, &refused) {
		refused = &refusal{backend.CodeInvalid, err.Error()}
	}
	refuse(w, refusalStatus[refused.code], refused.code, refused.message)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request wire.GenerateRequest
	if !decode(w, r, &request) {
		return
	}
	s, err := e.generate(request, r.RemoteAddr)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	e.stream(w, r, s, len(request.Kept))
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s, found := e.attempts[r.PathValue("id")]
	e.mu.Unlock()
	switch {
	case !found:
		writeRefusal(w, errNoAttempt)
	case err != nil || offset < 0 || offset > s.request.MaxTokens:
		refuse(w, http.StatusBadRequest, backend.CodeInvalid, "bad offset")
	default:
		e.stream(w, r, s, offset)
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if !decode(w, r, &order) {
		return
	}
	if err := e.applyOrder(order); err != nil {
		writeRefusal(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// kvBlock is an exported KV cache. It holds only the hashes of the prefix blocks.
type kvBlock struct {
	Hashes []uint64 `json:"hashes"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, found := e.attempts[r.PathValue("id")]
	e.mu.Unlock()
	if !found {
		writeRefusal(w, errNoAttempt)
		return
	}
	writeJSON(w, kvBlock{Hashes: prefixHashes(s)})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var block kvBlock
	if err == nil {
		err = json.Unmarshal(body, &block)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, backend.CodeInvalid, err.Error())
		return
	}
	e.mu.Lock()
	e.cache.store(block.Hashes, time.Now())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
