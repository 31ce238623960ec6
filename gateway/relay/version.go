package relay

import "flamingospar.org/platform/site"

// noteSoftware notes the versions of the software of endpoints for the lines about calls
// to them.
func (o *Outcome) noteSoftware(endpoints ...site.Endpoint) {
	if o.software == nil {
		o.software = make(map[string]string, len(endpoints))
	}
	for _, endpoint := range endpoints {
		o.software[endpoint.ID] = endpoint.SoftwareVersion
	}
}
