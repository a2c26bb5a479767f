package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/rows"
)

const testKey = "operator-key"

// memoryRows is a row table in memory. If before is set, it runs ahead of each edit.
type memoryRows struct {
	table  *policy.Table
	before func()
}

func (m *memoryRows) Table() *policy.Table { return m.table }

func (m *memoryRows) put(row policy.Row, deleted bool) policy.Row {
	row.Revision = m.table.Revision() + 1
	m.table = m.table.Apply(policy.Change{Row: row, Deleted: deleted})
	return row
}

func (m *memoryRows) Edit(_ context.Context, edit rows.Edit) (rows.EditResult, error) {
	if m.before != nil {
		m.before()
	}
	check := m.table.CheckEdit(edit.Row, edit.Delete)
	if check.Stale {
		return rows.EditResult{Status: rows.Conflict, Row: check.Current}, nil
	}
	row := m.put(edit.Row, edit.Delete)
	return rows.EditResult{Status: rows.Accepted, Row: row, Revision: row.Revision}, nil
}

type oneNode struct{}

func (oneNode) View() membership.View {
	return membership.View{Self: "n1", Members: []membership.Member{{ID: "n1", Zone: "galway-hall"}}}
}

// testCLI runs command lines against an admin server.
type testCLI struct {
	t      *testing.T
	rows   *memoryRows
	server string
}

func startTestCLI(t *testing.T) *testCLI {
	t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	keys, err := auth.NewKeys(auth.Config{Operators: []auth.OperatorKey{{Name: "alice", SHA256: []string{hex.EncodeToString(sum[:])}}}}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	table := &memoryRows{table: policy.NewTable(0, nil)}
	table.put(policy.Row{
		ID: "alerts", Match: policy.Match{Tenant: policy.Any, Model: policy.Any, Kind: policy.KindOnline},
		Weight: 10, DeadlineClass: policy.DeadlineInteractive, NewSiteShare: 1, Pool: "fleetlink-llm",
	}, false)
	config := admin.DefaultConfig()
	config.Address = "127.0.0.1:0"
	server := admin.New(config, admin.Dependencies{Authenticator: keys, Fleet: oneNode{}, Rows: table, Editor: table}, zap.NewNop(), nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	<-server.Listening()
	t.Cleanup(func() { cancel(); <-done })
	return &testCLI{t: t, rows: table, server: "http://" + server.Address()}
}

func (c *testCLI) run(input string, line ...string) (code int, output, errorOutput string) {
	c.t.Helper()
	var out, errors bytes.Buffer
	line = append(line, "--server", c.server, "--key", testKey)
	code = execute(c.t.Context(), line, strings.NewReader(input), &out, &errors)
	return code, out.String(), errors.String()
}

func TestRowCommands(t *testing.T) {
	c := startTestCLI(t)
	code, out, text := c.run("", "row", "edit", "alerts", "--set", "weight=40", "--set", "limits.tokens_per_second=1.5", "--set", "match.tenant=7", "-o", "json")
	var change admin.RowChange
	if err := json.Unmarshal([]byte(out), &change); err != nil || code != exitOK {
		t.Fatalf("edit: exit code %d, output %s, errors %s, decoding %v", code, out, text, err)
	}
	if change.Row.Weight != 40 || change.Row.Limits.TokensPerSecond != 1.5 || change.Row.Match.Tenant != "7" || change.Row.Revision != 2 {
		t.Errorf("edited row: %+v", change.Row)
	}
	if code, out, _ := c.run("", "row", "list"); code != exitOK || !strings.Contains(out, "fleetlink-llm") {
		t.Errorf("list: exit code %d, output %s", code, out)
	}
	if code, out, _ := c.run("", "row", "get", "alerts"); code != exitOK || !strings.Contains(out, "interactive") {
		t.Errorf("get: exit code %d, output %s", code, out)
	}
	code, exported, _ := c.run("", "row", "export")
	if code != exitOK {
		t.Fatal(exported)
	}
	changed := strings.Replace(exported, "weight: 40", "weight: 50", 1)
	if code, out, text := c.run(changed, "row", "import", "-"); code != exitOK || c.rows.table.Revision() != 3 {
		t.Errorf("import: exit code %d, output %s, errors %s", code, out, text)
	}
	if code, out, text := c.run(changed, "row", "import", "-"); code != exitFailure || !strings.Contains(out, "conflict") || !strings.Contains(text, "1 of 1 rows were not imported") {
		t.Errorf("import of an old file: exit code %d, output %s, errors %s", code, out, text)
	}
	if code, _, text := c.run("", "row", "delete", "alerts"); code != exitOK || c.rows.table.Len() != 0 {
		t.Errorf("delete: exit code %d, errors %s", code, text)
	}
	if code, _, _ := c.run("", "row", "get", "alerts"); code != exitNotFound {
		t.Errorf("get of a deleted row: exit code %d", code)
	}
}

func TestLostRaceShowsTheCurrentRow(t *testing.T) {
	c := startTestCLI(t)
	c.rows.before = func() {
		c.rows.before = nil
		row, _ := c.rows.table.Row("alerts")
		row.Weight = 77
		c.rows.put(row, false)
	}
	code, out, text := c.run("", "row", "edit", "alerts", "--set", "weight=40")
	if code != exitConflict || out != "" || !strings.Contains(text, `"weight": 77`) || !strings.Contains(text, "made against revision 1, the row is at 2") {
		t.Errorf("edit of a row changed meanwhile: exit code %d, output %s, errors %s", code, out, text)
	}
	if row, _ := c.rows.table.Row("alerts"); row.Weight != 77 {
		t.Errorf("the edit with the stale revision changed the row: %+v", row)
	}
}

func TestFailuresSayWhatToDo(t *testing.T) {
	c := startTestCLI(t)
	row := filepath.Join(t.TempDir(), "row.yaml")
	if err := os.WriteFile(row, []byte("id: a\nweigth: 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		line []string
		code int
		want string
	}{
		{"unknown field", []string{"row", "edit", "alerts", "--set", "weigth=3"}, exitUsage, "fields: deadline_class, id, limits.concurrency"},
		{"bad number", []string{"row", "edit", "alerts", "--set", "weight=much"}, exitUsage, "is not a number"},
		{"no value", []string{"row", "edit", "alerts", "--set", "weight"}, exitUsage, "FIELD=VALUE"},
		{"nothing set", []string{"row", "edit", "alerts"}, exitUsage, "nothing to change"},
		{"old revision", []string{"row", "delete", "alerts", "--revision", "9"}, exitConflict, `"weight": 10`},
		{"no such row", []string{"row", "get", "nothing"}, exitNotFound, "row list"},
		{"field in a file", []string{"row", "set", row}, exitUsage, "line 2: field weigth not found"},
		{"no file", []string{"row", "import", "/nonexistent"}, exitUsage, "no such file"},
		{"arguments", []string{"row", "get"}, exitUsage, "wanted 1 [ROW]"},
		{"command", []string{"row", "lst"}, exitUsage, `unknown command "lst"`},
		{"output", []string{"row", "list", "-o", "xml"}, exitUsage, "allowed: json, table"},
		{"unavailable", []string{"row", "list", "--server", "http://127.0.0.1:1"}, exitUnavailable, "--server"},
		{"server", []string{"row", "list", "--server", "127.0.0.1:1"}, exitUsage, "not an http or https URL"},
		{"settings", []string{"config", "check", "--log.level", "loud"}, exitUsage, "flag --log.level: log.level: \"loud\""},
		{"settings' files", []string{"config", "check", "--config", "../../examples/node.yaml", "--auth.keys_file", "/nonexistent", "--peer_tls.certificate_file", "/absent", "--peer_tls.key_file", "/absent"}, exitUsage, "flag --peer_tls.certificate_file: peer_tls.certificate_file: TLS file /absent, /absent: open /absent: no such file"},
		{"settings of a node", []string{"node", "--log.level", "loud"}, exitUsage, "flag --log.level"},
		{"node", []string{"node", "drain", "n9"}, exitNotFound, "no such path"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			arguments := append([]string{"--server", c.server, "--key", testKey}, test.line...)
			var out, text bytes.Buffer
			if code := execute(t.Context(), arguments, strings.NewReader(""), &out, &text); code != test.code || !strings.Contains(text.String(), test.want) {
				t.Errorf("wrong exit code %d or errors %s", code, text.String())
			}
		})
	}
	var out, text bytes.Buffer
	if code := execute(t.Context(), []string{"row", "list", "--server", c.server, "--key", "x"}, nil, &out, &text); code != exitForbidden || !strings.Contains(text.String(), "RINGSTREAM_KEY") {
		t.Errorf("unknown key: exit code %d, errors %s", code, text.String())
	}
}

func TestExplainTellsOneRequestsStory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n1.log")
	line := `{"level":"info","ts":"2026-01-01T00:00:01Z","msg":"request ended","node":"n1","request":"r1","outcome":"failed","event":8102}` + "\n"
	if err := os.WriteFile(file, []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, out, text string
		line            []string
		code            int
	}{
		{name: "known", line: []string{"explain", "r1", file}, out: "request ended outcome=failed request=r1", code: exitOK},
		{name: "unknown id", line: []string{"explain", "r2", file}, text: `about "r2"`, code: exitNotFound},
		{name: "no file", line: []string{"explain", "r1", file + ".gone"}, text: "no such file", code: exitUsage},
		{name: "too little", line: []string{"explain", "r1"}, text: "at least one FILE", code: exitUsage},
	} {
		var out, text bytes.Buffer
		if code := execute(t.Context(), test.line, nil, &out, &text); code != test.code || !strings.Contains(out.String(), test.out) || !strings.Contains(text.String(), test.text) {
			t.Errorf("%s: exit code %d, output %s, errors %s", test.name, code, out.String(), text.String())
		}
	}
}

func TestSettingsFileFromTheEnvironment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	t.Setenv("RINGSTREAM_SETTINGS", file)
	check := func(content string) (int, string) {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, text bytes.Buffer
		code := execute(t.Context(), []string{"config", "check"}, nil, &out, &text)
		return code, text.String()
	}
	good := "node: {id: n1, zone: z, region: r}\npass_through:\n  address: 127.0.0.1:1\n  ready_address: 127.0.0.1:2\n  store_address: 127.0.0.1:3\n"
	if code, text := check(good); code != exitOK {
		t.Errorf("valid settings: exit code %d, errors %s", code, text)
	}
	if code, text := check(strings.Replace(good, "127.0.0.1:3", "store", 1)); code != exitUsage || !strings.Contains(text, "node.yaml:5") || !strings.Contains(text, `pass_through.store_address: "store"`) || !strings.Contains(text, "allowed") {
		t.Errorf("invalid address: exit code %d, errors %s", code, text)
	}
	if code, text := check(good + "  store_addresses: x\n"); code != exitUsage || !strings.Contains(text, "store_addresses") {
		t.Errorf("unknown key: exit code %d, errors %s", code, text)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	var out, text bytes.Buffer
	if code := execute(t.Context(), []string{"node"}, nil, &out, &text); code == exitOK || !strings.Contains(text.String(), "no such file") {
		t.Errorf("missing settings file: exit code %d, errors %s", code, text.String())
	}
}

func TestUnknownAuthorityIsExplained(t *testing.T) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	defer server.Close()
	var out, text bytes.Buffer
	if code := execute(t.Context(), []string{"row", "list", "--server", server.URL}, nil, &out, &text); code != exitUnavailable || !strings.Contains(text.String(), "--ca-file") {
		t.Errorf("unknown authority: exit code %d, errors %s", code, text.String())
	}
}

func TestCompletionAsksTheServer(t *testing.T) {
	c := startTestCLI(t)
	var out, text bytes.Buffer
	execute(t.Context(), []string{"__complete", "--server", c.server, "--key", testKey, "row", "edit", ""}, nil, &out, &text)
	if !strings.Contains(out.String(), string(identity.RowID("alerts"))+"\t* * online") {
		t.Errorf("completions: %s", out.String())
	}
}

func TestConfigPrint(t *testing.T) {
	c := startTestCLI(t)
	code, out, text := c.run("", "config", "print", "--config", "../../examples/node.yaml", "--log.level", "debug", "-o", "json")
	var entries []struct{ Key, Origin string }
	if err := json.Unmarshal([]byte(out), &entries); err != nil || code != exitOK {
		t.Fatalf("config print: exit code %d, errors %s, decoding %v", code, text, err)
	}
	for _, entry := range entries {
		if entry.Key == "log.level" && entry.Origin != "flag --log.level" {
			t.Errorf("origin of a key set by a flag: %+v", entry)
		}
	}
}
