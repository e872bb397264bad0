package operator

import "net/http"

// Guard lets only those through to next who may use the API.
func (a *API) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.authorized(r) {
			a.writeProblem(w, problem(ReasonUnauthorized, "give the operators' key as a bearer token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
