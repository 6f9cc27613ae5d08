package graph

import (
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxDomainsOut is the largest number of failure domains that are out of service at the
// same time. Names of domains that have no workers are accepted, as workers may come.
const maxDomainsOut = 4096

// CheckDomain returns an error if a change of a failure domain cannot be carried out.
func (t *Tables) CheckDomain(d *DomainChange) error {
	switch {
	case d.Name == "":
		return errors.New("the failure domain has no name")
	case len(d.Name) > maxNameBytes:
		return errors.Newf("a failure domain's name of %d bytes, at most %d are allowed", len(d.Name), maxNameBytes)
	case !utf8.ValidString(d.Name):
		return errors.Newf("the failure domain's name %q is not UTF-8", d.Name)
	case d.Out && !t.domains[d.Name] && len(t.domains) >= maxDomainsOut:
		return errors.Newf("%d failure domains are out of service, which is the limit", len(t.domains))
	}
	return nil
}
