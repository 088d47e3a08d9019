// This file defines the checks that a configuration passes before it is accepted.

package clcontrol

import (
	"fmt"

	"github.com/chestnutlead/chestnutlead/clstate"
)

// ConfigError says what is wrong with a configuration.
type ConfigError struct {
	Object string
	Reason string
	Remedy string
}

var _ error = (*ConfigError)(nil)

// Error names the object, the reason and the remedy.
func (e *ConfigError) Error() string { return e.Object + ": " + e.Reason + "; " + e.Remedy }

func validate(s *clstate.ConfigSnapshot) error {
	for _, svc := range s.GetServices() {
		if err := validateService(s, svc); err != nil {
			return err
		}
	}
	return nil
}

func validateService(s *clstate.ConfigSnapshot, svc *clstate.Service) error {
	object := fmt.Sprintf("service %q", svc.GetName())
	switch {
	case svc.GetName() == "":
		return &ConfigError{object, "the name is empty", "name the service"}
	case svc.GetKind() == clstate.ServiceKind_SERVICE_KIND_UNSPECIFIED:
		return &ConfigError{object, "the kind is missing", "set SERVICE_KIND_ENGINE or SERVICE_KIND_PLAIN"}
	case findVersion(svc, svc.GetActiveVersion()) == nil:
		return &ConfigError{object, "active_version is not one of its versions", "add the version or name another"}
	case svc.GetOnOutage() == clstate.OnOutage_ON_OUTAGE_PASS && !svc.GetDeduplicates():
		return &ConfigError{
			object, "on_outage is pass, but the service does not remove duplicates",
			"set deduplicates if it does, or on_outage refuse",
		}
	}
	for _, name := range svc.GetDataCentres() {
		if findDataCentre(s, name) == nil {
			return &ConfigError{object, "data centre " + name + " does not exist", "add the data centre first"}
		}
	}
	return nil
}
