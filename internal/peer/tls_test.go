package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
)

// authority signs test certificates.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, pool: x509.NewCertPool()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(encoded); err != nil {
		t.Fatal(err)
	}
	a.pool.AddCert(a.certificate)
	return a
}

// tlsFor returns the TLS configurations of a node whose certificate names an IP address.
func (a *authority) tlsFor(ip string) *TLS {
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	certificates := []tls.Certificate{{Certificate: [][]byte{encoded}, PrivateKey: key}}
	client := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: certificates, RootCAs: a.pool}
	return &TLS{
		Server: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: certificates,
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: a.pool,
		},
		Client: func() *tls.Config { return client },
	}
}

// reserveAddress returns a free local address.
func reserveAddress(t *testing.T) string {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reserved.Close() }()
	return reserved.Addr().String()
}

func secureNode(t *testing.T, id, advertise string, configs *TLS, seeds ...string) *Node {
	config := DefaultConfig()
	config.ListenAddress, config.Seeds = reserveAddress(t), seeds
	config.AdvertiseAddress = advertise
	config.DialTimeout = 10 * time.Second // a loaded machine must not fail the test
	node, err := New(config, Identity{ID: identity.NodeID(id)}, configs, zap.NewNop(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return node
}

func TestMutualTLS(t *testing.T) {
	fleet, others := newAuthority(t), newAuthority(t)
	first := secureNode(t, "first", "", fleet.tlsFor("127.0.0.1"))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	run := func(node *Node) {
		running.Go(func() {
			if err := node.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	run(first)
	second := secureNode(t, "second", "", fleet.tlsFor("127.0.0.1"), first.config.ListenAddress)
	run(second)
	for {
		changed := second.Changed()
		if len(second.View().Live()) == 2 {
			break
		}
		<-changed
	}
	for name, stranger := range map[string]*Node{
		"another authority":          secureNode(t, "stranger", "", others.tlsFor("127.0.0.1")),
		"no TLS":                     secureNode(t, "stranger", "", nil),
		"another node's address":     secureNode(t, "stranger", "127.0.0.2:7000", fleet.tlsFor("127.0.0.1")),
		"another node's certificate": secureNode(t, "stranger", "", fleet.tlsFor("127.0.0.9")),
	} {
		dialing, stop := context.WithTimeout(t.Context(), 10*time.Second)
		w, _, err := stranger.dial(dialing, first.config.ListenAddress, purposeLink)
		stop()
		if !errors.Is(err, ErrUnreachable) {
			w.close()
			t.Errorf("%s: got error %v, want ErrUnreachable", name, err)
		}
	}
	if live := len(first.View().Live()); live != 2 {
		t.Errorf("%d live members after the rejected dials, expected 2", live)
	}
}
