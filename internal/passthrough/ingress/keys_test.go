package ingress

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/tenant"
)

func TestVerdictsOnKeys(t *testing.T) {
	directory, _ := tenant.NewDirectory([]tenant.Definition{{Tenant: tenant.Tenant{Name: "one"}, Keys: []string{"known"}}})
	table := passroute.NewTable(1, nil, nil, passroute.Limits{}, passroute.Tenants{Directory: directory})
	none := passroute.NewTable(1, nil, nil, passroute.Limits{}, passroute.Tenants{})
	config := DefaultKeysConfig()
	strict := config
	strict.Strict = true
	old, fresh := config.TrustFor+time.Millisecond, config.TrustFor
	for _, test := range []struct {
		name   string
		config KeysConfig
		table  *passroute.Table
		open   bool
		key    string
		age    time.Duration
		want   keyVerdict
	}{
		{"no tenants", config, none, false, "any", old, keyNotNeeded},
		{"an open route", config, table, true, "unknown", old, keyNotNeeded},
		{"a known key", config, table, false, "known", fresh, keyKnown},
		{"a known key, long after the last confirmation", config, table, false, "known", time.Hour, keyKnown},
		{"the same on a strict node", strict, table, false, "known", strict.ConfirmWithin + 1, keyUnverified},
		{"a strict node, confirmed in time", strict, table, false, "known", strict.ConfirmWithin, keyKnown},
		{"an unknown key", config, table, false, "unknown", fresh, keyUnknown},
		{"a key that may be new", config, table, false, "unknown", old, keyUnconfirmed},
		{"no key", config, table, false, "", fresh, keyUnknown},
		{"no key, where the route may be open by now", config, table, false, "", old, keyUnconfirmed},
	} {
		holder, got := judgeKey(test.config, test.table, test.open, test.key, test.age)
		if got != test.want || (holder != nil) != (test.want == keyKnown) {
			t.Errorf("%s: %s, holder %v; want %s", test.name, got, holder, test.want)
		}
	}
}
