#ifndef KNAPWEEDCROFT_CONTROL_FWD_HPP
#define KNAPWEEDCROFT_CONTROL_FWD_HPP

namespace knapweedcroft {

class change_publisher;
class control_client;
class text_table;
struct change_request;
struct publish_report;

} // namespace knapweedcroft

#endif
