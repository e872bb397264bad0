package placer

import "marigoldpoint.example/marigoldpoint/internal/state/storer"

// hasSoftware reports whether the backend server has the software version that the call
// requires.
func (b *backend) hasSoftware(c *Call) bool {
	return c.Software == "" || b.member.Spec.SoftwareID() == c.Software
}

// ServesSoftware reports whether any serving backend server of the service has the given
// software version.
func (p *Placer) ServesSoftware(service, software string) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range o.backends {
		if b.member.Spec.State == storer.MemberStateServing && b.member.Spec.SoftwareID() == software {
			return true
		}
	}
	return false
}
