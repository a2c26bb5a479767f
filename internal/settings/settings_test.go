package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/spf13/pflag"
)

// minimal sets the required keys that have no default.
const minimal = `node: {zone: a, region: r}
gateway: {http: {address: '127.0.0.1:0'}}
platform: {table_url: 'http://127.0.0.1:1', objects_url: 'http://127.0.0.1:1', weights_url: 'http://127.0.0.1:1', machines_url: 'http://127.0.0.1:1'}
`

func loadText(t *testing.T, text string, environment ...string) (Loaded, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(Sources{File: file, Environment: environment})
}

func TestExampleLoads(t *testing.T) {
	loaded, err := Load(Sources{File: "../../examples/node.yaml"})
	if err != nil {
		t.Fatal(err)
	}
	if loaded.Settings.Admin.BodyLimit != 16<<20 || loaded.Settings.Auth.Tenants[0].Tenant != "corrib" {
		t.Errorf("got %+v", loaded.Settings)
	}
}

func TestFlagsOverrideEnvironmentOverridesFile(t *testing.T) {
	text := "admin: {address: '127.0.0.1:1', idle_timeout: 1s, drain_time: 7s}\n" + minimal
	file := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	flags := pflag.NewFlagSet("node", pflag.ContinueOnError)
	RegisterFlags(flags)
	if err := flags.Parse([]string{"--admin.address", "127.0.0.1:3"}); err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(Sources{File: file, Flags: flags, Environment: []string{
		"RINGSTREAM_ADMIN_ADDRESS=127.0.0.1:2", "RINGSTREAM_ADMIN_IDLE_TIMEOUT=2s", "HOME=/", "RINGSTREAM_SERVER=x",
	}})
	if err != nil {
		t.Fatal(err)
	}
	got := loaded.Settings.Admin
	if got.Address != "127.0.0.1:3" || got.IdleTimeout != 2*time.Second || got.DrainTime != 7*time.Second || got.ReadHeaderTimeout != 10*time.Second {
		t.Errorf("got %+v", got)
	}
	for key, origin := range map[string]string{
		"admin.address": "flag --admin.address", "admin.idle_timeout": "environment RINGSTREAM_ADMIN_IDLE_TIMEOUT", "admin.drain_time": file + ":1",
	} {
		if loaded.Origins[key].String() != origin {
			t.Errorf("%s: got origin %s", key, loaded.Origins[key])
		}
	}
}

func TestWrongSettingsNameKeyLineAndWhatIsAllowed(t *testing.T) {
	cases := map[string]struct {
		text        string
		environment []string
		want        []string
	}{
		"unknown key":       {"admin:\n  addrss: 127.0.0.1:1\n", nil, []string{"node.yaml:2: admin.addrss: unknown key", `did you mean "address"?`}},
		"unknown section":   {"admn: {}\n", nil, []string{"node.yaml:1: admn: unknown key", `"admin"`}},
		"duration":          {"admin:\n  idle_timeout: 10\n", nil, []string{"node.yaml:2: admin.idle_timeout: \"10\"", "500ms"}},
		"negative duration": {"admin:\n  idle_timeout: -1s\n", nil, []string{"node.yaml:2: admin.idle_timeout", "above zero"}},
		"size":              {"admin:\n  body_limit: 3 bushels\n", nil, []string{"node.yaml:2: admin.body_limit", "3 bushels", "4MiB"}},
		"address by name":   {"admin:\n  address: localhost:70\n", nil, []string{"node.yaml:2: admin.address: \"localhost:70\"", "IP number"}},
		"address, no port":  {"admin:\n  address: 127.0.0.1\n", nil, []string{"node.yaml:2: admin.address", "IP:port"}},
		"choice":            {"log:\n  level: loud\n", nil, []string{"node.yaml:2: log.level: \"loud\"", "debug, info, warn, error"}},
		"digest":            {"auth:\n  tenants:\n  - tenant: a\n    sha256: [abc]\n", nil, []string{"node.yaml:4: auth.tenants[0].sha256[0]: \"abc\"", "64 hexadecimal"}},
		"list of scalars":   {"auth:\n  tenants: 3\n", nil, []string{"node.yaml:2: auth.tenants", "a list"}},
		"section as value":  {"admin: 3\n", nil, []string{"node.yaml:1: admin", "a section of keys"}},
		"duplicate key":     {"log: {}\nlog: {}\n", nil, []string{"node.yaml:2: log: the key is given twice, first on line 1"}},
		"in a list":         {"auth:\n  tenants:\n  - tenannt: a\n", nil, []string{"node.yaml:3: auth.tenants[0].tenannt: unknown key", `"tenant"`}},
		"untyped error":     {"rows:\n  poll_interval: 1ms\n", nil, []string{"node.yaml:2: rows.poll_interval: 1ms is not allowed"}},
		"URL by name":       {"", []string{"RINGSTREAM_PLATFORM_TABLE_URL=http://table:1"}, []string{"environment RINGSTREAM_PLATFORM_TABLE_URL: platform.table_url:", "IP number"}},
		"drain too short":   {"", []string{"RINGSTREAM_GATEWAY_HTTP_DRAIN_TIME=1s"}, []string{"environment RINGSTREAM_GATEWAY_HTTP_DRAIN_TIME: gateway.http.drain_time: \"1s\"", "cuts requests"}},
		"no peer address":   {"peer: {listen_address: '0.0.0.0:1'}\n", nil, []string{"node.yaml:1: peer.advertise_address", "0.0.0.0:1"}},
		"port used twice":   {"", []string{"RINGSTREAM_ADMIN_ADDRESS=127.0.0.1:5", "RINGSTREAM_GATEWAY_HTTP_ADDRESS=127.0.0.1:5"}, []string{"admin.address", "other than gateway"}},
		"not YAML":          {"a: [\n", nil, []string{"node.yaml: line"}},
		"environment":       {"", []string{"RINGSTREAM_ADMIN_IDLE_TIMEOUT=soon"}, []string{"environment RINGSTREAM_ADMIN_IDLE_TIMEOUT: admin.idle_timeout: \"soon\""}},
		"unknown variable":  {"", []string{"RINGSTREAM_ADMIN_ADRSS=x"}, []string{"environment RINGSTREAM_ADMIN_ADRSS: unknown key", "RINGSTREAM_ADMIN_ADDRESS"}},
		"variable's value":  {"", []string{"RINGSTREAM_ADMIN_ADDRESS=host:1"}, []string{"environment RINGSTREAM_ADMIN_ADDRESS: admin.address: \"host:1\""}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := loadText(t, c.text+minimal, c.environment...)
			if err == nil {
				t.Fatal("invalid settings were accepted")
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("text %q is missing in error %q", want, err)
				}
			}
		})
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	_, err := loadText(t, "log: {level: loud, format: xml}\n")
	if got := len(Problems(err)); got < 9 { // required addresses, zone and region are missing too
		t.Errorf("got %d problems, want at least 9: %v", got, err)
	}
}

func TestMissingSettingSaysHowToSetIt(t *testing.T) {
	_, err := loadText(t, strings.Replace(minimal, "zone: a,", "", 1))
	want := "node.zone: a value is required; allowed: a value that is not empty; set it in the file, by RINGSTREAM_NODE_ZONE or by --node.zone"
	if err == nil || !strings.HasSuffix(err.Error(), want) {
		t.Errorf("got %v", err)
	}
}

func TestVariablesAndKeysAreUnique(t *testing.T) {
	seen := make(map[string]string)
	for _, field := range Fields() {
		if earlier, taken := seen[field.Environment()]; taken {
			t.Errorf("%s and %s share an environment variable", earlier, field.Key)
		}
		seen[field.Environment()] = field.Key
		if field.Usage == "" {
			t.Errorf("%s has no usage text", field.Key)
		}
	}
}

func TestDefaultsRoundTripAsText(t *testing.T) {
	for _, field := range Fields() {
		if !field.Scalar() {
			continue
		}
		value, allowed := convertText(field, formatValue(field.Default, field.Unit))
		if allowed != "" {
			t.Errorf("%s: default %v is not allowed: %s", field.Key, field.Default, allowed)
		} else if list, ok := value.([]any); !ok && !cmp.Equal(value, field.Default) {
			t.Errorf("%s: default %v is parsed as %v (list %v)", field.Key, field.Default, value, list)
		}
	}
}

func TestSecretsAreMasked(t *testing.T) {
	field := Field{Key: "x", Secret: true}
	if got := displayValue(field, "password"); got != maskedValue {
		t.Errorf("a secret is displayed as %v", got)
	}
	if got := displayValue(field, ""); got != "" {
		t.Errorf("an unset secret is displayed as %v", got)
	}
}

func TestPageMatchesTheKeys(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Markdown(), string(page)); diff != "" {
		t.Errorf("docs/operations/settings.md is stale, run make docs (-keys +page):\n%s", diff)
	}
}
