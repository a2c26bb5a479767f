package tlsconfig_test

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ringstream.example/ringstream/internal/tlsconfig"
	"ringstream.example/ringstream/internal/tlsconfig/tlstest"
)

func newReloader(t *testing.T, config tlsconfig.Config) (*tlsconfig.Reloader, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	created, err := tlsconfig.New(config, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	return created, logs
}

// handshake returns the serial number of the server's certificate. It waits for the
// server's side too, because with TLS 1.3 only that side sees a rejected client
// certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			err = tls.Server(connection, server).Handshake()
			connection.Close()
		}
		accepted <- err
	}()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	client.ServerName = "127.0.0.1"
	connection := tls.Client(dialled, client)
	err = connection.Handshake()
	if err = errors.Join(err, <-accepted); err != nil {
		return 0, err
	}
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestChangedCertificateIsUsedWithoutRestart(t *testing.T) {
	ca, directory := tlstest.NewAuthority(t), t.TempDir()
	server, logs := newReloader(t, ca.Issue(t, directory, 2))
	listener := server.Server() // made once, as a listener does
	if serial, err := handshake(t, listener, server.Client()); err != nil || serial != 2 {
		t.Fatalf("serial %d, %v", serial, err)
	}
	ca.Issue(t, directory, 3)
	server.Reload()
	if serial, err := handshake(t, listener, server.Client()); err != nil || serial != 3 {
		t.Fatalf("after the change: serial %d, %v", serial, err)
	}
	if err := os.WriteFile(filepath.Join(directory, "key.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	server.Reload()
	if serial, err := handshake(t, listener, server.Client()); err != nil || serial != 3 {
		t.Fatalf("after an unusable file: serial %d, %v", serial, err)
	}
	if logs.FilterMessage("certificates not reloaded").Len() != 1 || logs.FilterMessage("certificates reloaded").Len() != 1 {
		t.Errorf("logged %v", logs.All())
	}
}

func TestMutualTLSRejectsOtherAuthorities(t *testing.T) {
	ours, strangers := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server, _ := newReloader(t, ours.Issue(t, t.TempDir(), 2))
	stranger, _ := newReloader(t, strangers.Issue(t, t.TempDir(), 3))
	if _, err := handshake(t, server.Server(), stranger.Client()); err == nil {
		t.Error("the client accepted the certificate of a server from another authority")
	}
	unverifying := stranger.Client()
	unverifying.RootCAs = nil
	unverifying.InsecureSkipVerify = true
	if _, err := handshake(t, server.Server(), unverifying); err == nil {
		t.Error("the server accepted a client certificate from another authority")
	}
	if _, err := handshake(t, server.Server(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Error("the server accepted a client without a certificate")
	}
}

func TestWrongFilesAreNamed(t *testing.T) {
	config := tlstest.NewAuthority(t).Issue(t, t.TempDir(), 2)
	for _, change := range []func(*tlsconfig.Config){
		func(c *tlsconfig.Config) { c.KeyFile = "/nonexistent" },
		func(c *tlsconfig.Config) { c.ClientCAFile = c.KeyFile },
	} {
		wrong := config
		change(&wrong)
		var failure *tlsconfig.FileError
		if _, err := tlsconfig.New(wrong, zap.NewNop()); !errors.As(err, &failure) {
			t.Errorf("got error %v, want a *FileError", err)
		}
	}
	if err := (tlsconfig.Config{CertificateFile: "a"}).Validate(); err == nil {
		t.Error("a certificate without its key was accepted")
	}
}
