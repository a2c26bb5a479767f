package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
)

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func requestWith(authorization string) *http.Request {
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set("Authorization", authorization)
	return request
}

func statusOf(err error) int {
	var failure *apierror.Error
	if errors.As(err, &failure) {
		return failure.Status
	}
	return 0
}

func TestKeysOfManyTenants(t *testing.T) {
	config := DefaultConfig()
	for i := range 2600 {
		config.Tenants = append(config.Tenants, TenantKeys{Tenant: fmt.Sprintf("tenant-%d", i), SHA256: []string{digestOf(fmt.Sprintf("key-%d", i))}})
	}
	config.Operators = []OperatorKey{{Name: "alice", SHA256: []string{digestOf("root"), digestOf("next")}}}
	if err := config.Validate(); err != nil {
		t.Fatal(err)
	}
	keys, err := NewKeys(config, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2600 {
		tenant, err := keys.Tenant(requestWith(fmt.Sprintf("Bearer key-%d", i)))
		if err != nil || tenant != identity.TenantID(fmt.Sprintf("tenant-%d", i)) {
			t.Fatalf("key %d: got tenant %q, error %v", i, tenant, err)
		}
	}
	for _, key := range []string{"root", "next"} {
		if name, err := keys.Operator(requestWith("bearer " + key)); err != nil || name != "alice" {
			t.Errorf("key %s: got operator %q, error %v", key, name, err)
		}
	}
}

func TestRefusals(t *testing.T) {
	keys, err := NewKeys(Config{
		Tenants:   []TenantKeys{{Tenant: "a", SHA256: []string{digestOf("k")}}},
		Operators: []OperatorKey{{Name: "o", SHA256: []string{digestOf("root")}}},
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for header, status := range map[string]int{"": 401, "Bearer": 401, "Bearer ": 401, "Basic k": 401, "Bearer x": 401, "k": 401, "Bearer root": 403} {
		if _, err := keys.Tenant(requestWith(header)); statusOf(err) != status {
			t.Errorf("Tenant with header %q: got error %v", header, err)
		}
	}
	if _, err := keys.Operator(requestWith("Bearer k")); statusOf(err) != http.StatusForbidden {
		t.Errorf("Operator with a tenant's key: got error %v", err)
	}
}

func TestOneKeyOfTwoHoldersIsAnError(t *testing.T) {
	_, err := NewKeys(Config{Tenants: []TenantKeys{{Tenant: "a", SHA256: []string{digestOf("k")}}, {Tenant: "b", SHA256: []string{digestOf("k")}}}}, zap.NewNop())
	if !errors.Is(err, ErrDuplicateKey) {
		t.Errorf("got %v", err)
	}
}

func TestKeysFileIsReadAgain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.yaml")
	changed := time.Unix(1_700_000_000, 0)
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		changed = changed.Add(time.Second)
		if err := os.Chtimes(file, changed, changed); err != nil {
			t.Fatal(err)
		}
	}
	entry := func(key string) string { return "tenants: [{tenant: a, sha256: [" + digestOf(key) + "]}]\n" }
	write(entry("old"))
	core, logs := observer.New(zap.InfoLevel)
	keys, err := NewKeys(Config{KeysFile: file}, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	known := func(key string) bool {
		_, err := keys.Tenant(requestWith("Bearer " + key))
		return err == nil
	}
	write(entry("new"))
	keys.reloadIfChanged()
	if known("old") || !known("new") {
		t.Error("the changed keys file was not applied")
	}
	write("tenants: [{tenant: a, sha265: [x]}]\n")
	keys.reloadIfChanged()
	failed := logs.FilterMessage("keys not reloaded").All()
	if !known("new") || len(failed) != 1 || !strings.Contains(failed[0].ContextMap()["error"].(string), "sha265") {
		t.Errorf("after an invalid keys file, got log lines %v", failed)
	}
}
