package rig

// RouteConfig is a route of the operator's configuration.
type RouteConfig struct {
	Name, Prefix, Type, Service string
	Timeout                     string
	MaxAttempts                 int
}

// Document is the operator's configuration.
type Document struct {
	Version int
	Routes  []RouteConfig
	// Keys are the API keys of the tenant.
	Keys []string
}

// Tenant is the only tenant.
const Tenant = "sese880"

// Encode returns the document as the store holds it.
func (d Document) Encode() map[string]any {
	resources := []map[string]any{}
	add := func(kind, name string, spec map[string]any) {
		metadata := map[string]any{}
		if name != "" {
			metadata["name"] = name
		}
		resources = append(resources, map[string]any{"resourceKind": kind, "metadata": metadata, "spec": spec})
	}
	services := make(map[string]bool)
	for _, r := range d.Routes {
		add("routes", r.Name, map[string]any{
			"host": Host, "prefix": r.Prefix, "type": r.Type, "timeout": r.Timeout, "targetLatency": "500ms", "priority": 1,
			"service": r.Service, "maxAttempts": r.MaxAttempts, "public": false, "sticky": false, "allowedRegions": []string{},
		})
		services[r.Service] = true
	}
	for name := range services {
		add("services", name, map[string]any{
			"healthPath": "/healthz", "maxConns": 330, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": ColdPerS,
		})
	}
	add("tenants", Tenant, map[string]any{
		"apiKeys": d.Keys, "priority": 1, "ratePerS": 0, "burst": 0, "allowedRegions": []string{},
	})
	add("limits", "", map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	})
	return map[string]any{"version": d.Version, "baseVersion": d.Version - 1, "resources": resources}
}
