#ifndef KNAPWEEDCROFT_CATALOGUE_FWD_HPP
#define KNAPWEEDCROFT_CATALOGUE_FWD_HPP

namespace knapweedcroft {

class catalogue_entry;
class catalogue_state;
class snapshot_schedule;
struct catalogue_entry_fields;
struct change_outcome;
struct change_record;
struct entry_version;
struct snapshot_record;

} // namespace knapweedcroft

#endif
