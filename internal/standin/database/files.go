package database

import (
	"os"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"
)

// organisation returns the store of an organisation and the generation of the files.
func (s *Server) organisation(name string) (*organisation, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.openOrganisation(name)
	return o, s.generation, err
}

// openOrganisation needs the mutex.
func (s *Server) openOrganisation(name string) (*organisation, error) {
	if o, ok := s.organisations[name]; ok {
		return o, nil
	}
	if !organisationPattern.MatchString(name) {
		return nil, failure("organisation", codeNoOrganisation, "no valid organisation is set")
	}
	if s.ctx.Err() != nil {
		return nil, failure("organisation", codeShutdown, "the server is ending")
	}
	o, err := openOrganisation(s.filesDirectory(), name)
	if err != nil {
		return nil, &Error{Operation: "organisation", Kind: codeInternal, Err: err}
	}
	s.organisations[name] = o
	return o, nil
}

func (s *Server) filesDirectory() string {
	return filepath.Join(s.files, strconv.FormatUint(s.generation, 10))
}

// closeOrganisations needs the mutex. Reads that still run end with an error.
func (s *Server) closeOrganisations() {
	for _, o := range s.organisations {
		o.close()
	}
}

// rebuild replaces all SQLite files by new ones made from the log. It needs the mutex, and no transaction may be open.
func (s *Server) rebuild() error {
	old := s.filesDirectory()
	s.closeOrganisations()
	s.generation++
	s.organisations = map[string]*organisation{}
	if err := os.Mkdir(s.filesDirectory(), 0o700); err != nil {
		return eris.Wrap(err, "create directory of files")
	}
	byOrganisation := map[string][]entry{}
	for _, e := range s.log.entries {
		if e.Organisation != "" {
			byOrganisation[e.Organisation] = append(byOrganisation[e.Organisation], e)
		}
	}
	for name, entries := range byOrganisation {
		o, err := s.openOrganisation(name)
		if err != nil {
			return err
		}
		if err := o.apply(entries...); err != nil {
			return err
		}
	}
	return eris.Wrap(os.RemoveAll(old), "remove old files")
}
