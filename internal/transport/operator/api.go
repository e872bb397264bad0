package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Prefix is the path prefix of the API.
const Prefix = "/api/v1/"

// Path patterns and their wildcards.
const (
	wildcardWorkspace = "workspace"
	wildcardKind      = "kind"
	wildcardName      = "name"

	patternMembers    = Prefix + "members"
	patternMember     = Prefix + "members/{name}"
	patternSuspects   = Prefix + "suspects"
	patternSuspect    = Prefix + "suspects/{name}"
	patternWorkspaces = Prefix + "workspaces"
	patternWorkspace  = Prefix + "workspaces/{workspace}"
	patternList       = Prefix + "workspaces/{workspace}/{kind}"
	patternResource   = Prefix + "workspaces/{workspace}/{kind}/{name}"
)

// API is the HTTP handler of the resource API. It is safe for concurrent use.
type API struct {
	settings   Settings
	mux        *http.ServeMux
	metrics    *metrics
	retryAfter string
	// keyHash is the SHA-256 of the operators' key.
	keyHash [sha256.Size]byte
	// watchers is a semaphore of the watches in progress.
	watchers chan struct{}
}

// NewAPI returns the resource API. It panics if s has no Control.
func NewAPI(s Settings) *API {
	if s.Control == nil {
		panic("operator: NewAPI requires Settings.Control")
	}
	s = s.withDefaults()
	a := &API{
		settings:   s,
		mux:        http.NewServeMux(),
		metrics:    newMetrics(s.Registerer),
		retryAfter: strconv.Itoa(int(math.Ceil(s.RetryAfter.Seconds()))),
		keyHash:    sha256.Sum256([]byte(s.Key)),
		watchers:   make(chan struct{}, s.MaxWatchers),
	}
	a.mux.HandleFunc(patternMembers, a.serveMembers)
	a.mux.HandleFunc(patternMember, a.serveMember)
	a.mux.HandleFunc(patternSuspects, a.serveSuspects)
	a.mux.HandleFunc(patternSuspect, a.serveSuspect)
	a.mux.HandleFunc(patternWorkspaces, a.serveWorkspaces)
	a.mux.HandleFunc(patternWorkspace, a.serveWorkspace)
	a.mux.HandleFunc(patternList, a.serveList)
	a.mux.HandleFunc(patternResource, a.serveResource)
	a.mux.HandleFunc("/", a.serveNotFound)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := a.settings.Now()
	recorded := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	if a.authorized(r) {
		a.mux.ServeHTTP(recorded, r)
	} else {
		a.writeProblem(recorded, newProblem(ReasonUnauthorized, "give the operators' key as a bearer token"))
	}
	a.metrics.count(r.Method, recorded.status)
	a.settings.Log.Info().
		Str("Method", r.Method).
		Str("Path", r.URL.Path).
		Int("Status", recorded.status).
		Dur("Duration", a.settings.Now().Sub(start)).
		Msg("served an operator request")
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and sends the status.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// authorized reports whether the request may be served. Without a key, only requests on a
// loopback address may. Comparing hashes of equal length in constant time leaks nothing
// about the key.
func (a *API) authorized(r *http.Request) bool {
	if a.settings.Key == "" {
		address, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
		return ok && address.IP.IsLoopback()
	}
	scheme, token, _ := strings.Cut(r.Header.Get(headerAuthorization), " ")
	hash := sha256.Sum256([]byte(strings.TrimSpace(token)))
	return subtle.ConstantTimeCompare(hash[:], a.keyHash[:]) == 1 && strings.EqualFold(scheme, bearerScheme)
}

func (a *API) serveNotFound(w http.ResponseWriter, r *http.Request) {
	a.writeProblem(w, newProblem(ReasonNotFound, "no such path: "+r.URL.Path))
}

func (a *API) serveMembers(w http.ResponseWriter, r *http.Request) {
	a.serveReadOnly(w, r, storer.Key{Kind: storer.KindMember}, true)
}

func (a *API) serveMember(w http.ResponseWriter, r *http.Request) {
	a.serveReadOnly(w, r, storer.Key{Kind: storer.KindMember, Name: r.PathValue(wildcardName)}, false)
}

func (a *API) serveSuspects(w http.ResponseWriter, r *http.Request) {
	a.serveReadOnly(w, r, storer.Key{Kind: storer.KindSuspect}, true)
}

// serveSuspect shows or releases a request during which backend servers ended.
func (a *API) serveSuspect(w http.ResponseWriter, r *http.Request) {
	key := storer.Key{Kind: storer.KindSuspect, Name: r.PathValue(wildcardName)}
	if r.Method == http.MethodDelete {
		a.delete(w, r, key)
		return
	}
	a.serveReadOnly(w, r, key, false)
}

func (a *API) serveWorkspaces(w http.ResponseWriter, r *http.Request) {
	a.serveReadOnly(w, r, storer.Key{Kind: storer.KindWorkspace}, true)
}

func (a *API) serveWorkspace(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue(wildcardWorkspace)
	a.serveReadWrite(w, r, storer.Key{Kind: storer.KindWorkspace, Workspace: name, Name: name})
}

func (a *API) serveList(w http.ResponseWriter, r *http.Request) {
	if key, ok := a.pathKey(w, r); ok {
		a.serveReadOnly(w, r, key, true)
	}
}

func (a *API) serveResource(w http.ResponseWriter, r *http.Request) {
	if key, ok := a.pathKey(w, r); ok {
		a.serveReadWrite(w, r, key)
	}
}

// pathKey returns the resource key in the path. Members, suspects and workspaces have
// paths of their own. If the kind is invalid, it writes the response and returns false.
func (a *API) pathKey(w http.ResponseWriter, r *http.Request) (storer.Key, bool) {
	kind, err := storer.ParsePathSegment(r.PathValue(wildcardKind))
	if err != nil || kind == storer.KindMember || kind == storer.KindSuspect || kind == storer.KindWorkspace {
		a.serveNotFound(w, r)
		return storer.Key{}, false
	}
	return storer.Key{Kind: kind, Workspace: r.PathValue(wildcardWorkspace), Name: r.PathValue(wildcardName)}, true
}

// serveReadOnly serves resources that operators can only read.
func (a *API) serveReadOnly(w http.ResponseWriter, r *http.Request, key storer.Key, list bool) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		a.writeMethodNotAllowed(w, http.MethodGet)
	case r.URL.Query().Get(queryWatch) != "":
		a.watch(w, r, key)
	case list:
		a.list(w, r, key)
	default:
		a.get(w, r, key)
	}
}

// serveReadWrite serves resources that operators can read and write.
func (a *API) serveReadWrite(w http.ResponseWriter, r *http.Request, key storer.Key) {
	switch r.Method {
	case http.MethodGet, http.MethodHead:
		a.serveReadOnly(w, r, key, false)
	case http.MethodPut:
		a.put(w, r, key)
	case http.MethodDelete:
		a.delete(w, r, key)
	default:
		a.writeMethodNotAllowed(w, http.MethodGet, http.MethodPut, http.MethodDelete)
	}
}

func (a *API) writeMethodNotAllowed(w http.ResponseWriter, allowed ...string) {
	w.Header().Set(headerAllow, strings.Join(allowed, ", "))
	a.writeProblem(w, newProblem(ReasonMethodNotAllowed, "allowed here: "+strings.Join(allowed, ", ")))
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
