package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"
)

// HandlerConfig sets the services that NewHandler exposes; those that are nil share one new Memory.
type HandlerConfig struct {
	Table     Table
	Objects   Objects
	Directory Directory
}

type handler struct {
	HandlerConfig
}

// NewHandler returns a handler for the platform's HTTP paths that Client calls.
func NewHandler(config HandlerConfig) http.Handler {
	var memory Memory
	if config.Table == nil {
		config.Table = &memory
	}
	if config.Objects == nil {
		config.Objects = &memory
	}
	if config.Directory == nil {
		config.Directory = &memory
	}
	h := &handler{HandlerConfig: config}
	// Routes match the encoded path, so that object names with slashes, dots or percent signs stay unchanged.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/table/transact", h.transactTable).Methods(http.MethodPost)
	router.HandleFunc("/table/read", h.readRows).Methods(http.MethodPost)
	router.HandleFunc("/table/scan", h.scanRows).Methods(http.MethodPost)
	router.HandleFunc("/objects/{name:.+}", h.getObject).Methods(http.MethodGet)
	router.HandleFunc("/objects/{name:.+}", h.putObject).Methods(http.MethodPut)
	router.HandleFunc("/objects/{name:.+}", h.deleteObject).Methods(http.MethodDelete)
	router.HandleFunc("/instances", h.listInstances).Methods(http.MethodGet)
	return router
}

func (h *handler) transactTable(w http.ResponseWriter, r *http.Request) {
	var t Transaction
	if !decodeRequest(w, r, &t) {
		return
	}
	result, err := h.Table.Transact(r.Context(), t)
	respond(w, result, err)
}

func (h *handler) readRows(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Names []string `json:"names"`
	}
	if !decodeRequest(w, r, &request) {
		return
	}
	rows, err := h.Table.Read(r.Context(), request.Names)
	respondRows(w, rows, err)
}

func (h *handler) scanRows(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	if !decodeRequest(w, r, &request) {
		return
	}
	rows, err := h.Table.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	respondRows(w, rows, err)
}

func (h *handler) getObject(w http.ResponseWriter, r *http.Request) {
	name, ok := objectName(w, r)
	if !ok {
		return
	}
	body, err := h.Objects.Get(r.Context(), name)
	if err != nil {
		respondError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (h *handler) putObject(w http.ResponseWriter, r *http.Request) {
	name, ok := objectName(w, r)
	if !ok {
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	respond(w, struct{}{}, h.Objects.Put(r.Context(), name, body))
}

func (h *handler) deleteObject(w http.ResponseWriter, r *http.Request) {
	name, ok := objectName(w, r)
	if !ok {
		return
	}
	respond(w, struct{}{}, h.Objects.Delete(r.Context(), name))
}

func (h *handler) listInstances(w http.ResponseWriter, r *http.Request) {
	members, err := h.Directory.List(r.Context())
	respond(w, struct {
		Instances []Member `json:"instances"`
	}{members}, err)
}

func objectName(w http.ResponseWriter, r *http.Request) (string, bool) {
	name, err := url.PathUnescape(mux.Vars(r)["name"])
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody(err))
		return "", false
	}
	return name, true
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(DefaultMaxBodySize)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorBody(err))
		return nil, false
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody(err))
		return nil, false
	}
	return body, true
}

func decodeRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, request); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody(err))
		return false
	}
	return true
}

func respondRows(w http.ResponseWriter, rows []Row, err error) {
	respond(w, struct {
		Rows []Row `json:"rows"`
	}{rows}, err)
}

func respond(w http.ResponseWriter, body any, err error) {
	if err != nil {
		respondError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func respondError(w http.ResponseWriter, err error) {
	var notFound *NotFoundError
	if errors.As(err, &notFound) {
		writeJSON(w, http.StatusNotFound, struct {
			Missing string `json:"missing"`
		}{notFound.Name})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, errorBody(err))
}

func errorBody(err error) any {
	return struct {
		Error string `json:"error"`
	}{err.Error()}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
