package inspector

import (
	"slices"
	"strings"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/config/registrar"
)

// anyHost stands for the host of an entry's services, which are selected by path alone.
const anyHost = "any"

// InspectTicket checks what a ticket of the product's own interface sets: the services as
// routes to themselves, in the ticket's order, and the client accounts by the hashes of
// their keys.
func InspectTicket(t *registrar.Ticket) []Finding {
	i := &inspection{Catalog: newTicketCatalog(t), services: make(map[string]*holder.Service), lineOf: func(Section, int) int { return 0 }}
	for n := range i.Services {
		i.services[i.Services[n].Name] = &i.Services[n]
	}
	i.checkRoutes()
	i.checkAccounts()
	for n, s := range t.Services {
		i.checkOrder(n, s)
		if s.RetryBudget == 0 && s.MaxAttempts > 1 {
			i.add(Warning, "attempts_over_retry_bound", Services, n, s.Name, "allows %d attempts, but no retries", s.MaxAttempts)
		}
	}
	for n, a := range t.Accounts {
		if a.Rate > 0 && a.Concurrency > 0 && float64(a.Burst) > a.Rate && a.Burst > a.Concurrency {
			i.add(Warning, "burst_over_concurrency", Accounts, n, a.Name, "a burst of %d requests is over the %d that may be in flight", a.Burst, a.Concurrency)
		}
	}
	return i.findings
}

// newTicketCatalog returns the plain services of a ticket as routes, and its accounts.
func newTicketCatalog(t *registrar.Ticket) *holder.Catalog {
	c := &holder.Catalog{Version: t.Number}
	for _, s := range t.Services {
		c.Services = append(c.Services, holder.Service{Name: s.Name})
		if s.Kind != registrar.ServicePlain {
			continue
		}
		c.Routes = append(c.Routes, holder.Route{
			Name: s.Name, Host: anyHost, Prefix: s.PathPrefix, Kind: holder.NonIdempotent, Timeout: s.Timeout, Objective: s.Objective.FirstByte,
			MaxAttempts: s.MaxAttempts, Targets: []holder.Target{{Service: s.Name, Weight: 1}},
		})
	}
	for _, a := range t.Accounts {
		c.Accounts = append(c.Accounts, holder.Account{Name: a.Name, Keys: a.KeyHashes})
	}
	return c
}

// checkOrder reports routes of a service that an earlier one hides: the first match applies.
func (i *inspection) checkOrder(n int, s *registrar.Service) {
	for later, r := range s.Routes {
		for earlier, o := range s.Routes[:later] {
			if strings.HasPrefix(r.PathPrefix, o.PathPrefix) && containsAll(o.Methods, r.Methods) {
				i.add(Error, "route_hidden", Services, n, s.Name, "routes[%d] never matches: routes[%d] comes first and matches the same requests", later, earlier)
				break
			}
		}
	}
}

func containsAll(list, wanted []string) bool {
	for _, w := range wanted {
		if !slices.Contains(list, w) {
			return false
		}
	}
	return true
}
