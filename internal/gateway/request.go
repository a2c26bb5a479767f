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
	maxTokens    int // zero when the caller set none
	stream       bool
	includeUsage bool
	stop         []string
	user         string
	adapter      string
	sampling     backend.Sampling
	repeatable   bool
}

// maxStops is the number of stop sequences that OpenAI's API allows.
const maxStops = 4

// fieldRule reads one field of a request body into the generation.
type fieldRule func(value json.RawMessage, request *generation) error

// ignored accepts any value, because the field cannot change the answer.
func ignored(json.RawMessage, *generation) error { return nil }

// onlyValues accepts only the JSON values that leave a feature off. Any other value
// would change the answer in a way that no engine interface here supports.
func onlyValues(values ...string) fieldRule {
	return func(value json.RawMessage, _ *generation) error {
		if slices.Contains(values, string(compact(value))) {
			return nil
		}
		return apierror.Invalid("not supported: only %s is accepted", strings.Join(values, " or "))
	}
}

// decodeInto decodes a value into a field of the generation. null leaves the field
// unchanged.
func decodeInto[T any](field func(*generation) *T, expected string) fieldRule {
	return func(value json.RawMessage, request *generation) error {
		if err := json.Unmarshal(value, field(request)); err != nil {
			return apierror.Invalid("must be %s", expected)
		}
		return nil
	}
}

// numberInRange reads a sampling parameter and rejects a number outside its range.
func numberInRange(field func(*backend.Sampling) **float64, lowest, highest float64) fieldRule {
	return func(value json.RawMessage, request *generation) error {
		number := field(&request.sampling)
		if err := json.Unmarshal(value, number); err != nil || (*number != nil && (**number < lowest || **number > highest)) {
			return apierror.Invalid("must be a number from %g to %g", lowest, highest)
		}
		return nil
	}
}

// commonFields are the fields of both forms, listed in docs/operations/callers.md. A
// field that is neither common nor specific to the form is refused by name.
var commonFields = map[string]fieldRule{
	"model":          decodeInto(func(r *generation) *string { return &r.model }, "a string"),
	"stream":         decodeInto(func(r *generation) *bool { return &r.stream }, "true or false"),
	"stream_options": streamOptions,
	"stop":           stopSequences,
	"max_tokens":     tokenLimit,
	"user":           decodeInto(func(r *generation) *string { return &r.user }, "a string"),
	"adapter":        decodeInto(func(r *generation) *string { return &r.adapter }, "a string"),
	"repeatable":     decodeInto(func(r *generation) *bool { return &r.repeatable }, "true or false"),

	"n":                 onlyValues("1", "null"),
	"temperature":       numberInRange(func(s *backend.Sampling) **float64 { return &s.Temperature }, 0, 2),
	"top_p":             numberInRange(func(s *backend.Sampling) **float64 { return &s.TopP }, 0, 1),
	"presence_penalty":  numberInRange(func(s *backend.Sampling) **float64 { return &s.PresencePenalty }, -2, 2),
	"frequency_penalty": numberInRange(func(s *backend.Sampling) **float64 { return &s.FrequencyPenalty }, -2, 2),
	"seed":              decodeInto(func(r *generation) **int64 { return &r.sampling.Seed }, "a whole number"),
	"logit_bias":        onlyValues("null", "{}"),

	"metadata":          ignored,
	"store":             ignored,
	"service_tier":      ignored,
	"safety_identifier": ignored,
	"prompt_cache_key":  ignored,
	"prediction":        ignored,
}

var completionFields = map[string]fieldRule{
	"prompt":   completionPrompt,
	"best_of":  onlyValues("1", "null"),
	"echo":     onlyValues("false", "null"),
	"logprobs": onlyValues("null"),
	"suffix":   onlyValues("null", `""`),
}

var chatFields = map[string]fieldRule{
	"messages":              chatMessages,
	"max_completion_tokens": tokenLimit,
	"logprobs":              onlyValues("false", "null"),
	"top_logprobs":          onlyValues("null", "0"),
	"response_format":       onlyValues("null", `{"type":"text"}`),
	"tools":                 onlyValues("null", "[]"),
	"functions":             onlyValues("null", "[]"),
	"tool_choice":           onlyValues("null", `"none"`, `"auto"`),
	"function_call":         onlyValues("null", `"none"`, `"auto"`),
	"parallel_tool_calls":   ignored,
	"modalities":            onlyValues("null", `["text"]`),
	"audio":                 onlyValues("null"),
	"reasoning_effort":      onlyValues("null"),
	"verbosity":             onlyValues("null"),
	"web_search_options":    onlyValues("null"),
}

// parseGeneration parses a request body. Its errors have status 400 and name the field.
func parseGeneration(body []byte, chat bool) (generation, error) {
	request := generation{chat: chat, repeatable: true}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return request, apierror.Invalid("the body must be one JSON object")
	}
	formFields := completionFields
	if chat {
		formFields = chatFields
	}
	for name, value := range fields {
		rule, known := commonFields[name]
		if !known {
			rule, known = formFields[name]
		}
		if !known {
			return request, apierror.Invalid("field %q is not known; remove it", name)
		}
		if err := rule(value, &request); err != nil {
			return request, apierror.Invalid("field %q: %s", name, messageOf(err))
		}
	}
	return request, request.checkRequired(fields)
}

func (r *generation) checkRequired(fields map[string]json.RawMessage) error {
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

// completionPrompt reads a string or an array that holds exactly one string.
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
