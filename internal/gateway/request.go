package gateway

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
)

// generation is a parsed completion request, of either form.
type generation struct {
	chat         bool
	model        string
	prompt       string
	maxTokens    int // zero: the caller named none
	stream       bool
	includeUsage bool
	stop         []string
	user         string
	adapter      string
	sampling     backend.Sampling
	repeatable   bool
}

// maxStops is the number of stop sequences that OpenAI's form allows.
const maxStops = 4

// fieldRule reads one field of a request body into the generation.
type fieldRule func(value json.RawMessage, request *generation) error

// ignored accepts any value: the field cannot change the answer.
func ignored(json.RawMessage, *generation) error { return nil }

// only accepts the JSON values that mean "leave it off"; any other would
// change the answer, which no engine interface here supports.
func only(values ...string) fieldRule {
	return func(value json.RawMessage, _ *generation) error {
		if slices.Contains(values, string(compact(value))) {
			return nil
		}
		return apierror.Invalid("not supported: only %s is accepted", strings.Join(values, " or "))
	}
}

// into decodes a field into a place in the generation; null leaves it as it is.
func into[T any](place func(*generation) *T, expected string) fieldRule {
	return func(value json.RawMessage, request *generation) error {
		if err := json.Unmarshal(value, place(request)); err != nil {
			return apierror.Invalid("must be %s", expected)
		}
		return nil
	}
}

// within reads a number of the sampling and holds it to its range.
func within(place func(*backend.Sampling) **float64, least, most float64) fieldRule {
	return func(value json.RawMessage, request *generation) error {
		number := place(&request.sampling)
		if err := json.Unmarshal(value, number); err != nil || (*number != nil && (**number < least || **number > most)) {
			return apierror.Invalid("must be a number from %g to %g", least, most)
		}
		return nil
	}
}

// commonFields are the fields of both forms. docs/operations/callers.md lists
// them; a field in neither table is refused by name.
var commonFields = map[string]fieldRule{
	"model":          into(func(r *generation) *string { return &r.model }, "a string"),
	"stream":         into(func(r *generation) *bool { return &r.stream }, "true or false"),
	"stream_options": streamOptions,
	"stop":           stopSequences,
	"max_tokens":     tokenLimit,
	"user":           into(func(r *generation) *string { return &r.user }, "a string"),
	"adapter":        into(func(r *generation) *string { return &r.adapter }, "a string"),
	"repeatable":     into(func(r *generation) *bool { return &r.repeatable }, "true or false"),

	"n":                 only("1", "null"),
	"temperature":       within(func(s *backend.Sampling) **float64 { return &s.Temperature }, 0, 2),
	"top_p":             within(func(s *backend.Sampling) **float64 { return &s.TopP }, 0, 1),
	"presence_penalty":  within(func(s *backend.Sampling) **float64 { return &s.PresencePenalty }, -2, 2),
	"frequency_penalty": within(func(s *backend.Sampling) **float64 { return &s.FrequencyPenalty }, -2, 2),
	"seed":              into(func(r *generation) **int64 { return &r.sampling.Seed }, "a whole number"),
	"logit_bias":        only("null", "{}"),

	"metadata":          ignored,
	"store":             ignored,
	"service_tier":      ignored,
	"safety_identifier": ignored,
	"prompt_cache_key":  ignored,
	"prediction":        ignored,
}

var completionFields = map[string]fieldRule{
	"prompt":   completionPrompt,
	"best_of":  only("1", "null"),
	"echo":     only("false", "null"),
	"logprobs": only("null"),
	"suffix":   only("null", `""`),
}

var chatFields = map[string]fieldRule{
	"messages":              chatMessages,
	"max_completion_tokens": tokenLimit,
	"logprobs":              only("false", "null"),
	"top_logprobs":          only("null", "0"),
	"response_format":       only("null", `{"type":"text"}`),
	"tools":                 only("null", "[]"),
	"functions":             only("null", "[]"),
	"tool_choice":           only("null", `"none"`, `"auto"`),
	"function_call":         only("null", `"none"`, `"auto"`),
	"parallel_tool_calls":   ignored,
	"modalities":            only("null", `["text"]`),
	"audio":                 only("null"),
	"reasoning_effort":      only("null"),
	"verbosity":             only("null"),
	"web_search_options":    only("null"),
}

// parseGeneration reads a request body. Errors are 400 and name the field.
func parseGeneration(body []byte, chat bool) (generation, error) {
	request := generation{chat: chat, repeatable: true}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return request, apierror.Invalid("the body must be one JSON object")
	}
	own := completionFields
	if chat {
		own = chatFields
	}
	for name, value := range fields {
		rule, known := commonFields[name]
		if !known {
			rule, known = own[name]
		}
		if !known {
			return request, apierror.Invalid("field %q is not known; remove it", name)
		}
		if err := rule(value, &request); err != nil {
			return request, apierror.Invalid("field %q: %s", name, messageOf(err))
		}
	}
	return request, request.check(fields)
}

func (r *generation) check(fields map[string]json.RawMessage) error {
	content := "prompt"
	if r.chat {
		content = "messages"
	}
	if _, present := fields[content]; !present {
		return apierror.Invalid("field %q is required", content)
	}
	if r.model == "" {
		return apierror.Invalid(`field "model" is required`)
	}
	return nil
}

// completionPrompt takes a string, or an array that holds one string.
func completionPrompt(value json.RawMessage, request *generation) error {
	if json.Unmarshal(value, &request.prompt) == nil && !isNull(value) {
		return nil
	}
	var list []string
	if err := json.Unmarshal(value, &list); err != nil || len(list) != 1 {
		return apierror.Invalid("must be a string, or an array of exactly one string")
	}
	request.prompt = list[0]
	return nil
}

func tokenLimit(value json.RawMessage, request *generation) error {
	if isNull(value) {
		return nil
	}
	var limit int
	if err := json.Unmarshal(value, &limit); err != nil || limit < 1 {
		return apierror.Invalid("must be a whole number, at least 1")
	}
	request.maxTokens = limit
	return nil
}

func streamOptions(value json.RawMessage, request *generation) error {
	var options struct {
		IncludeUsage       bool `json:"include_usage"`
		IncludeObfuscation bool `json:"include_obfuscation"`
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&options); err != nil {
		return apierror.Invalid(`must be an object; "include_usage" is what it may hold`)
	}
	request.includeUsage = options.IncludeUsage
	return nil
}

func stopSequences(value json.RawMessage, request *generation) error {
	if isNull(value) {
		return nil
	}
	var one string
	if json.Unmarshal(value, &one) == nil {
		request.stop = []string{one}
	} else if err := json.Unmarshal(value, &request.stop); err != nil {
		return apierror.Invalid("must be a string or an array of strings")
	}
	if len(request.stop) > maxStops || slices.Contains(request.stop, "") {
		return apierror.Invalid("at most %d sequences, none empty", maxStops)
	}
	return nil
}

func isNull(value json.RawMessage) bool { return string(value) == "null" }

func compact(value json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, value) != nil {
		return value
	}
	return buffer.Bytes()
}
