package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/settings"
	"ringstream.example/ringstream/internal/tlsconfig"
	"ringstream.example/ringstream/internal/tlsconfig/tlstest"
)

// listeningNetwork is the machine's TCP with listeners that were opened in
// advance, so that each address is known and free.
type listeningNetwork struct {
	peer.TCP
	listeners map[string]net.Listener
}

func (o *listeningNetwork) open(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	o.listeners[listener.Addr().String()] = listener
	return listener.Addr().String()
}

func (o *listeningNetwork) Listen(address string) (net.Listener, error) {
	if listener, ok := o.listeners[address]; ok {
		return listener, nil
	}
	return nil, fmt.Errorf("no open listener at %s", address)
}

func digestOf(key string) []string {
	sum := sha256.Sum256([]byte(key))
	return []string{hex.EncodeToString(sum[:])}
}

// testSettings returns a node's settings that use certificate on each listener.
func testSettings(t *testing.T, network *listeningNetwork, platform *emulator.Fleet, name string, certificate tlsconfig.Config) settings.Settings {
	t.Helper()
	config := settings.Default()
	config.Node = settings.Node{ID: name, Zone: "galway-hall", Region: "ie-west"}
	config.Platform = platform.PlatformConfig(false)
	config.Gateway.HTTP.Address, config.Gateway.HTTP.LeaveTime, config.Gateway.HTTP.TLS = network.open(t), 0, certificate
	config.Admin.Address, config.Admin.TLS = network.open(t), certificate
	config.Peer.ListenAddress, config.PeerTLS = network.open(t), certificate
	config.Auth = auth.Config{
		ReloadInterval: time.Minute,
		Tenants:        []auth.TenantKeys{{Tenant: "corrib", SHA256: digestOf("caller")}},
		Operators:      []auth.OperatorKey{{Name: "alice", SHA256: digestOf("operator")}},
	}
	return config
}

// retryUntilOK repeats a call until it succeeds, and fails the test after 30 s.
func retryUntilOK(t *testing.T, what string, call func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for {
		err := call()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%s: %v", what, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestTwoNodesWithTLSEverywhere(t *testing.T) {
	platformConfig := emulator.DefaultFleetConfig()
	platformConfig.Pools[0].Engines = 2
	platform, err := emulator.StartFleet(platformConfig)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	certificate := tlstest.NewAuthority(t).Issue(t, t.TempDir(), 2)
	network := &listeningNetwork{listeners: make(map[string]net.Listener)}
	first := testSettings(t, network, platform, "n1", certificate)
	second := testSettings(t, network, platform, "n2", certificate)
	second.Peer.Seeds = []string{first.Peer.ListenAddress}
	ended := make(map[identity.NodeID]chan error)
	ctx, cancel := context.WithCancel(t.Context())
	for _, config := range []settings.Settings{first, second} {
		made, err := New(config, zap.NewNop(), WithNetwork(network))
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		ended[made.ID()] = done
		go func() { done <- made.Run(ctx) }()
	}
	operator, err := adminclient.New(adminclient.Options{
		Server: "https://" + first.Admin.Address, Key: "operator", Timeout: 10 * time.Second,
		CAFile: certificate.ClientCAFile, CertificateFile: certificate.CertificateFile, KeyFile: certificate.KeyFile,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer operator.Close()
	retryUntilOK(t, "a row", func() error {
		_, err := operator.PutRow(ctx, policy.Row{
			ID: "all", Match: policy.Match{Tenant: policy.Any, Model: policy.Any, Kind: policy.Any},
			Weight: 1, DeadlineClass: policy.DeadlineInteractive, NewSiteShare: 1, Pool: "fleetlink",
		})
		return err
	})
	retryUntilOK(t, "the row on both nodes", func() error { return checkBothCurrent(ctx, operator) })
	retryUntilOK(t, "an answer of the other node", func() error { return complete(second.Gateway.HTTP.Address, certificate) })
	if _, err := operator.Drain(ctx, "n2"); err != nil {
		t.Fatal(err)
	}
	if err := <-ended["n2"]; err != nil {
		t.Errorf("the drained node stopped with %v", err)
	}
	cancel()
	if err := <-ended["n1"]; err != nil {
		t.Errorf("the node stopped by its context failed with %v", err)
	}
}

func checkBothCurrent(ctx context.Context, operator *adminclient.Client) error {
	status, err := operator.RowStatus(ctx)
	if err != nil {
		return err
	}
	if len(status.Nodes) != 2 || status.Behind+status.Unknown != 0 || status.Revision == 0 {
		return fmt.Errorf("%+v", status)
	}
	return nil
}

// complete requests a completion of five tokens from a node.
func complete(address string, certificate tlsconfig.Config) error {
	reloader, err := tlsconfig.New(certificate, zap.NewNop())
	if err != nil {
		return err
	}
	transport := &http.Transport{TLSClientConfig: reloader.Client()}
	defer transport.CloseIdleConnections()
	body := []byte(`{"model":"fleetlink-llm","prompt":"engine warning","max_tokens":5}`)
	request, err := http.NewRequest(http.MethodPost, "https://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer caller")
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var answer struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(text, &answer); err != nil || answer.Usage.CompletionTokens != 5 {
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}
