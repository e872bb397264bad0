package operator

import "net/http"

// Guard returns a handler that passes authorized requests to next and refuses others.
func (a *API) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.authorized(r) {
			a.writeProblem(w, newProblem(ReasonUnauthorized, "give the operators' key as a bearer token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
