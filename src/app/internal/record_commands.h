#pragma once

#include <iosfwd>

#include "app/internal/command.h"
#include "app/internal/irecord_store.h"
#include "app/internal/record_writer.h"
#include "records/records_types.h"

namespace monsoonshelf::app {

// `records validate|get|list|apply|delete|watch` and `zone out|in`.
int RecordsCommand(const Arguments& arguments);
int ZoneCommand(const Arguments& arguments);
boost::program_options::options_description RecordsOptions();
// Options of the commands that talk to the platform.
boost::program_options::options_description PlatformOptions();

// The parts below work on any store, for tests.

// Writes each record, in the order zone, service, rule, target, and prints one line for each.
// With `replace`, records without a version replace what is there.
Result<int> ApplyRecords(IRecordStore& store, std::vector<records::Record> records, bool replace,
                         const WriteMark& mark, std::ostream& out);

// Sets the state of a zone record.
Result<int> SetZoneState(IRecordStore& store, const std::string& name, records::ZoneState state,
                         const WriteMark& mark, std::ostream& out);

// Prints changes after a version until `count` of them were printed; 0 means without end. Failures
// of the platform are reported on `errors` and the watch continues.
Result<int> WatchRecords(IRecordStore& store, Version after, std::size_t count, std::ostream& out,
                         std::ostream& errors);

Result<int> ListRecords(IRecordStore& store, const std::vector<std::string>& kinds,
                        std::ostream& out);

}  // namespace monsoonshelf::app
