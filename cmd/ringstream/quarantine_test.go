package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/platform/platformtest"
)

// TestQuarantineCommands blocks a content, shows it and lifts the block.
func TestQuarantineCommands(t *testing.T) {
	store := platformtest.NewStore().Open()
	t.Cleanup(store.Close)
	run := func(line ...string) (int, string) {
		var out, problems bytes.Buffer
		code := execute(t.Context(), append([]string{"quarantine"}, line...), strings.NewReader(""), &out, &problems)
		return code, out.String() + problems.String()
	}
	onStore := func(line ...string) (int, string) { return run(append(line, "--store", store.Address())...) }
	body := filepath.Join(t.TempDir(), "body")
	if err := os.WriteFile(body, []byte("the body"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := quarantine.Content{Host: "host", Target: "/a?b=c", Caller: "one", Body: []byte("the body")}.Digest().Key()
	code, out := run("digest", "--host", "host", "--target", "/a?b=c", "--tenant", "one", "--body", body)
	if digest := strings.TrimSpace(out); code != exitOK || digest != want {
		t.Fatalf("digest: exit code %d, output %s, want %s", code, out, want)
	}
	code, out = run("digest", "--host", "host", "--part", "5c1e07a2")
	if digest := strings.TrimSpace(out); code != exitOK || digest != (quarantine.Part{Host: "host", ID: "5c1e07a2"}).Digest().Key() {
		t.Fatalf("digest of a part: exit code %d, output %s", code, out)
	}
	list := func() []contentEntry {
		t.Helper()
		var shown []contentEntry
		code, out := onStore("list", "-o", "json")
		if err := json.Unmarshal([]byte(out), &shown); err != nil || code != exitOK {
			t.Fatalf("list: exit code %d, output %s, decoding %v", code, out, err)
		}
		return shown
	}
	if shown := list(); len(shown) != 0 {
		t.Errorf("list of an empty store: %+v", shown)
	}
	if code, out := onStore("block", want, "--for", "2h", "--reason", "ticket 17"); code != exitOK {
		t.Fatalf("block: exit code %d, output %s", code, out)
	}
	if shown := list(); len(shown) != 1 || !shown[0].Blocked || shown[0].By != "operator" || shown[0].Reason != "ticket 17" || shown[0].Content != want {
		t.Errorf("list after the block: %+v", shown)
	}
	if code, out := onStore("list"); code != exitOK || !strings.Contains(out, want) || !strings.Contains(out, "ticket 17") {
		t.Errorf("list: exit code %d, output %s", code, out)
	}
	if code, out := onStore("lift", want[:16]); code != exitOK {
		t.Fatalf("lift by the start of a digest: exit code %d, output %s", code, out)
	}
	if shown := list(); len(shown) != 1 || shown[0].Blocked {
		t.Errorf("list after the lift: %+v", shown)
	}
	unknown := quarantine.Content{Host: "other"}.Digest().Key()
	for _, test := range []struct {
		line []string
		code int
	}{
		{[]string{"lift", unknown, "--store", store.Address()}, exitNotFound},
		{[]string{"lift", "zz", "--store", store.Address()}, exitUsage},
		{[]string{"block", want, "--for", "9999h", "--store", store.Address()}, exitUsage},
		{[]string{"list"}, exitUsage},
		{[]string{"list", "--store", "127.0.0.1:1"}, exitUnavailable},
	} {
		if code, out := run(test.line...); code != test.code {
			t.Errorf("%v: exit code %d, output %s, want exit code %d", test.line, code, out, test.code)
		}
	}
}
