#pragma once

#include <iosfwd>

#include "app/internal/command.h"
#include "app/internal/irecord_store.h"
#include "app/internal/record_writer.h"
#include "records/records_types.h"

namespace monsoonshelf::app {

// Run `records validate|get|list|apply|delete|watch` and `zone out|in`. Return the exit code.
int RecordsCommand(const Arguments& arguments);
int ZoneCommand(const Arguments& arguments);
// Options of all `records` subcommands.
boost::program_options::options_description RecordsOptions();
// Options of every command that accesses the platform.
boost::program_options::options_description PlatformOptions();

// The functions below take the store as an argument, which allows tests to use a mock. They return
// the exit code.

// Writes the records in the order zone, service, rule, target and prints the result of each. With
// `replace`, a record without a version replaces the current one. A record that fails does not stop
// the others; kExitFailed takes precedence over kExitConflict.
Result<int> ApplyRecords(IRecordStore& store, std::vector<records::Record> records, bool replace,
                         const WriterInfo& writer, std::ostream& out);

// Sets the state of a zone record and prints the result. Errors: those of the store,
// kRecordInvalidField if the object is no record of this zone, and record errors.
Result<int> SetZoneState(IRecordStore& store, const std::string& name, records::ZoneState state,
                         const WriterInfo& writer, std::ostream& out);

// Prints record changes above version `after` until `count` changes are printed; 0 means no limit.
// Platform failures are printed to `errors` and the watch continues.
Result<int> WatchRecords(IRecordStore& store, Version after, std::size_t count, std::ostream& out,
                         std::ostream& errors);

// Prints one line per record: kind, name, version, validation result and writer.
Result<int> ListRecords(IRecordStore& store, const std::vector<std::string>& kinds,
                        std::ostream& out);

}  // namespace monsoonshelf::app
