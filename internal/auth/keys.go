package auth

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"gopkg.in/yaml.v3"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/events"
)

// Config lists the accepted keys. It holds only their digests, so that keys
// cannot be read from the settings.
type Config struct {
	KeysFile       string        `koanf:"keys_file" usage:"YAML file with further tenants and operators, read again when it changes and on SIGHUP"`
	ReloadInterval time.Duration `koanf:"reload_interval" usage:"how often keys_file is looked at for changes"`
	Tenants        []TenantKeys  `koanf:"tenants" usage:"callers' keys: list of {tenant, sha256: [hex, ...]}"`
	Operators      []OperatorKey `koanf:"operators" usage:"operators' keys: list of {name, sha256: [hex, ...]}"`
}

// TenantKeys holds the digests of one tenant's keys. A tenant may have several, so
// that keys can be rotated without an interruption.
type TenantKeys struct {
	Tenant string   `koanf:"tenant" yaml:"tenant"`
	SHA256 []string `koanf:"sha256" yaml:"sha256"`
}

// OperatorKey holds the digests of one operator's keys.
type OperatorKey struct {
	Name   string   `koanf:"name" yaml:"name"`
	SHA256 []string `koanf:"sha256" yaml:"sha256"`
}

// DefaultConfig returns a Config without keys, which refuses every request.
func DefaultConfig() Config { return Config{ReloadInterval: 30 * time.Second} }

// Validate checks the reload interval and the entries. Its errors name the entry.
func (c Config) Validate() error {
	failures := []error{configcheck.Positive("reload_interval", c.ReloadInterval)}
	failures = append(failures, validateKeys(c.Tenants, c.Operators)...)
	return errors.Join(failures...)
}

func validateKeys(tenants []TenantKeys, operators []OperatorKey) []error {
	var failures []error
	for i, entry := range tenants {
		key := fmt.Sprintf("tenants[%d]", i)
		failures = append(failures, configcheck.Required(key+".tenant", entry.Tenant), checkDigests(key, entry.SHA256))
	}
	for i, entry := range operators {
		key := fmt.Sprintf("operators[%d]", i)
		failures = append(failures, configcheck.Required(key+".name", entry.Name), checkDigests(key, entry.SHA256))
	}
	return failures
}

func checkDigests(key string, digests []string) error {
	const allowed = "the SHA-256 of the key, as 64 hexadecimal digits"
	if len(digests) == 0 {
		return &configcheck.Error{Key: key + ".sha256", Allowed: allowed}
	}
	for i, text := range digests {
		if _, ok := parseDigest(text); !ok {
			return &configcheck.Error{Key: fmt.Sprintf("%s.sha256[%d]", key, i), Value: text, Allowed: allowed}
		}
	}
	return nil
}

type digest [sha256.Size]byte

func parseDigest(text string) (digest, bool) {
	var parsed digest
	n, err := hex.Decode(parsed[:], []byte(text))
	if len(text) != hex.EncodedLen(sha256.Size) || err != nil || n != sha256.Size {
		return digest{}, false
	}
	return parsed, true
}

// keyOwner is the tenant or the operator to which a key belongs. Exactly one of the
// fields is set.
type keyOwner struct {
	tenant   identity.TenantID
	operator string
}

// Keys is the Authenticator of a node. It is safe for concurrent use. Keys are
// looked up by their digest in a map. The lookup time reveals nothing about a
// key, because a client cannot choose the digest.
type Keys struct {
	config Config
	logger *zap.Logger
	owners atomic.Pointer[map[digest]keyOwner]
	stamp  fileStamp // used by Run only
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// NewKeys reads the configured keys and keys_file.
func NewKeys(config Config, logger *zap.Logger) (*Keys, error) {
	keys := &Keys{config: config, logger: logger}
	if err := keys.reload(); err != nil {
		return nil, err
	}
	return keys, nil
}

// Tenant implements Authenticator.
func (k *Keys) Tenant(request *http.Request) (identity.TenantID, error) {
	found, err := k.find(request)
	if err != nil {
		return "", err
	}
	if found.tenant == "" {
		return "", apierror.New(http.StatusForbidden, apierror.CodeForbidden, "this key is an operator's; callers' requests need a tenant's key")
	}
	return found.tenant, nil
}

// Operator implements Authenticator.
func (k *Keys) Operator(request *http.Request) (string, error) {
	found, err := k.find(request)
	if err != nil {
		return "", err
	}
	if found.operator == "" {
		return "", apierror.New(http.StatusForbidden, apierror.CodeForbidden, "this key is a tenant's; the admin API needs an operator's key")
	}
	return found.operator, nil
}

func (k *Keys) find(request *http.Request) (keyOwner, error) {
	header := request.Header.Get("Authorization")
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return keyOwner{}, apierror.New(http.StatusUnauthorized, apierror.CodeUnauthorized, "send the header Authorization: Bearer KEY")
	}
	found, ok := (*k.owners.Load())[sha256.Sum256([]byte(key))]
	if !ok {
		return keyOwner{}, apierror.New(http.StatusUnauthorized, apierror.CodeUnauthorized, "this key is not known")
	}
	return found, nil
}

// Run reloads keys_file when it changes and on SIGHUP, until ctx is done. An
// unusable file is logged, and the last good keys stay in use.
func (k *Keys) Run(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(k.config.ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			k.stamp = fileStamp{}
			k.reloadIfChanged()
		case <-ticker.C:
			k.reloadIfChanged()
		}
	}
}

func (k *Keys) reloadIfChanged() {
	if k.config.KeysFile == "" || k.stamp == stampOf(k.config.KeysFile) {
		return
	}
	if err := k.reload(); err != nil {
		events.KeysReloadFailed.Log(k.logger, zap.String("file", k.config.KeysFile), zap.Error(err))
		return
	}
	events.KeysReloaded.Log(k.logger, zap.String("file", k.config.KeysFile), zap.Int("keys", len(*k.owners.Load())))
}

func (k *Keys) reload() error {
	tenants, operators := k.config.Tenants, k.config.Operators
	if k.config.KeysFile != "" {
		stamp := stampOf(k.config.KeysFile)
		file, err := readKeysFile(k.config.KeysFile)
		if err != nil {
			return err
		}
		tenants = append(append([]TenantKeys{}, tenants...), file.Tenants...)
		operators = append(append([]OperatorKey{}, operators...), file.Operators...)
		k.stamp = stamp
	}
	owners, err := indexKeys(tenants, operators)
	if err != nil {
		return err
	}
	k.owners.Store(&owners)
	return nil
}

// ErrDuplicateKey is returned if one key belongs to two tenants or operators.
var ErrDuplicateKey = errors.New("the same key is given to two holders")

func indexKeys(tenants []TenantKeys, operators []OperatorKey) (map[digest]keyOwner, error) {
	owners := make(map[digest]keyOwner, len(tenants)+len(operators))
	add := func(texts []string, owner keyOwner) error {
		for _, text := range texts {
			parsed, _ := parseDigest(text)
			if earlier, taken := owners[parsed]; taken && earlier != owner {
				return fmt.Errorf("%w: %s%s and %s%s", ErrDuplicateKey, earlier.tenant, earlier.operator, owner.tenant, owner.operator)
			}
			owners[parsed] = owner
		}
		return nil
	}
	for _, entry := range tenants {
		if err := add(entry.SHA256, keyOwner{tenant: identity.TenantID(entry.Tenant)}); err != nil {
			return nil, err
		}
	}
	for _, entry := range operators {
		if err := add(entry.SHA256, keyOwner{operator: entry.Name}); err != nil {
			return nil, err
		}
	}
	return owners, nil
}

type keysFile struct {
	Tenants   []TenantKeys  `yaml:"tenants"`
	Operators []OperatorKey `yaml:"operators"`
}

func readKeysFile(name string) (keysFile, error) {
	var content keysFile
	file, err := os.Open(name)
	if err != nil {
		return content, fmt.Errorf("keys file: %w", err)
	}
	defer file.Close() //nolint:errcheck // only read
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	if err := decoder.Decode(&content); err != nil {
		return content, fmt.Errorf("keys file %s: %w", name, err)
	}
	if err := errors.Join(validateKeys(content.Tenants, content.Operators)...); err != nil {
		return content, fmt.Errorf("keys file %s: %w", name, err)
	}
	return content, nil
}

func stampOf(name string) fileStamp {
	info, err := os.Stat(name)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}
