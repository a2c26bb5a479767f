// Package tlsconfig provides TLS configurations whose certificates and
// authorities are reloaded when their files change, without a restart. It opens
// no socket.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"ringstream.example/ringstream/internal/configcheck"
)

// Config names the files of one listener or peer. TLS is disabled if all of them
// are empty.
type Config struct {
	CertificateFile string        `koanf:"certificate_file" usage:"PEM certificate chain; empty: no TLS"`
	KeyFile         string        `koanf:"key_file" usage:"PEM private key of the certificate"`
	ClientCAFile    string        `koanf:"client_ca_file" usage:"PEM authorities that the other side's certificate must chain to; set: mutual TLS"`
	ServerName      string        `koanf:"server_name" usage:"name that servers' certificates carry; empty: the IP number dialled"`
	ReloadInterval  time.Duration `koanf:"reload_interval" usage:"how often the files are looked at for changes"`
}

// DefaultConfig returns a Config with TLS disabled.
func DefaultConfig() Config { return Config{ReloadInterval: time.Minute} }

// Enabled reports whether the configuration names any file.
func (c Config) Enabled() bool {
	return c.CertificateFile != "" || c.KeyFile != "" || c.ClientCAFile != ""
}

// Validate checks that the required settings are present. It reads no files.
func (c Config) Validate() error {
	if !c.Enabled() {
		return nil
	}
	return errors.Join(
		configcheck.Required("certificate_file", c.CertificateFile),
		configcheck.Required("key_file", c.KeyFile),
		configcheck.Positive("reload_interval", c.ReloadInterval),
	)
}

// FileError reports a file that cannot be used.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("TLS file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// ErrNoCertificates is the cause for a file of authorities without a certificate.
var ErrNoCertificates = errors.New("no PEM certificate in it")

// keyMaterial holds the contents of the files as of one load.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool // nil without mutual TLS
}

func load(config Config) (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(config.CertificateFile, config.KeyFile)
	if err != nil {
		return nil, &FileError{File: config.CertificateFile + ", " + config.KeyFile, Cause: err}
	}
	if config.ClientCAFile == "" {
		return &keyMaterial{certificate: certificate}, nil
	}
	pem, err := os.ReadFile(config.ClientCAFile)
	if err != nil {
		return nil, &FileError{File: config.ClientCAFile, Cause: err}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, &FileError{File: config.ClientCAFile, Cause: ErrNoCertificates}
	}
	return &keyMaterial{certificate: certificate, authorities: authorities}, nil
}
