package settings

import (
	"errors"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/tlsconfig"
)

// CheckFiles reads the key and certificate files that the settings name, as a
// node does at startup. Its error joins an *Error for each unusable file.
func (l Loaded) CheckFiles() error {
	var failures []error
	fail := func(key string, err error) {
		if err != nil {
			failures = append(failures, &Error{Origin: originOf(l.Origins, key), Key: key, Problem: err.Error()})
		}
	}
	_, err := auth.NewKeys(l.Settings.Auth, zap.NewNop())
	fail("auth.keys_file", err)
	sections := []struct {
		key    string
		config tlsconfig.Config
	}{
		{"gateway.http.tls", l.Settings.Gateway.HTTP.TLS},
		{"admin.tls", l.Settings.Admin.TLS},
		{"peer_tls", l.Settings.PeerTLS},
	}
	for _, section := range sections {
		if section.config.Enabled() {
			_, err := tlsconfig.New(section.config, zap.NewNop())
			fail(section.key+".certificate_file", err)
		}
	}
	return errors.Join(failures...)
}
