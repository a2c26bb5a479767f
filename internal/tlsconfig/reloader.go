package tlsconfig

import (
	"context"
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
)

// Reloader holds the last good contents of the files. Server, Client and the
// configurations that they return are safe for concurrent use.
type Reloader struct {
	config  Config
	logger  *zap.Logger
	current atomic.Pointer[keyMaterial]
	stamp   fileStamp // used by New and Reload only
}

// fileStamp is compared to detect that one of the files has changed.
type fileStamp [3]struct {
	modified time.Time
	size     int64
}

// New reads the files. It returns a *FileError for an unusable one.
func New(config Config, logger *zap.Logger) (*Reloader, error) {
	stamp := stampOf(config)
	first, err := load(config)
	if err != nil {
		return nil, err
	}
	reloader := &Reloader{config: config, logger: logger, stamp: stamp}
	reloader.current.Store(first)
	return reloader, nil
}

// Server returns a configuration for a listener. Each handshake uses the last good
// contents of the files. If ClientCAFile is set, the client must present a
// certificate that chains to it.
func (r *Reloader) Server() *tls.Config {
	server := r.currentServerConfig()
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return r.currentServerConfig(), nil
	}
	return server
}

func (r *Reloader) currentServerConfig() *tls.Config {
	now := r.current.Load()
	server := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{now.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if now.authorities != nil {
		server.ClientAuth = tls.RequireAndVerifyClientCert
		server.ClientCAs = now.authorities
	}
	return server
}

// Client returns a configuration for one connection, with the current contents of
// the files. If ClientCAFile is set, the server's certificate must chain to it.
func (r *Reloader) Client() *tls.Config {
	now := r.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{now.certificate},
		RootCAs:      now.authorities,
		ServerName:   r.config.ServerName,
	}
}

// Run calls Reload at every ReloadInterval until ctx is done. Unusable files are
// logged, and the last good contents stay in use.
func (r *Reloader) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.config.ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.Reload()
		}
	}
}

// Reload reads the files if one has changed since the last successful load. It
// must not be called concurrently.
func (r *Reloader) Reload() {
	stamp := stampOf(r.config)
	if stamp == r.stamp {
		return
	}
	next, err := load(r.config)
	if err != nil {
		events.TLSReloadFailed.Log(r.logger, zap.String("file", r.config.CertificateFile), zap.Error(err))
		return
	}
	r.stamp = stamp
	r.current.Store(next)
	events.TLSReloaded.Log(r.logger, zap.String("file", r.config.CertificateFile))
}

func stampOf(config Config) fileStamp {
	var stamp fileStamp
	for i, name := range []string{config.CertificateFile, config.KeyFile, config.ClientCAFile} {
		if info, err := os.Stat(name); err == nil {
			stamp[i].modified, stamp[i].size = info.ModTime(), info.Size()
		}
	}
	return stamp
}
