package settings

import (
	"fmt"
	"net/netip"

	"ringstream.example/ringstream/internal/configcheck"
)

// crossCheck returns an error for each conflict between settings of different
// sections.
func crossCheck(settings Settings) []error {
	var failures []error
	gateway := settings.Gateway
	if gateway.HTTP.DrainTime < gateway.RequestTimeout {
		failures = append(failures, &configcheck.Error{
			Key: "gateway.http.drain_time", Value: gateway.HTTP.DrainTime.String(),
			Allowed: fmt.Sprintf("at least gateway.request_timeout (%s), or a planned stop cuts requests", gateway.RequestTimeout),
		})
	}
	if isUnspecified(settings.Peer.ListenAddress) && settings.Peer.AdvertiseAddress == "" {
		failures = append(failures, &configcheck.Error{
			Key: "peer.advertise_address", Value: settings.Peer.AdvertiseAddress,
			Allowed: "the address at which other nodes reach this one, when peer.listen_address is " + settings.Peer.ListenAddress,
		})
	}
	if settings.Admin.Address == gateway.HTTP.Address && !hasAnyPort(settings.Admin.Address) {
		failures = append(failures, &configcheck.Error{
			Key: "admin.address", Value: settings.Admin.Address, Allowed: "an address other than gateway.http.address",
		})
	}
	return failures
}

func isUnspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}

func hasAnyPort(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() == 0
}
