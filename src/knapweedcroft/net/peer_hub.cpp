#include "knapweedcroft/net/peer_hub.hpp"

#include "knapweedcroft/net/socket_options.hpp"
#include "knapweedcroft/wire/codec.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr int listenBacklog = 256;
// Larger requests and answers wait for their turn on a link.
static constexpr std::size_t largeFrameBytes = std::size_t { 64 } * 1024;
// Larger answers wait until the peer has granted them.
static constexpr std::size_t maxUnofferedAnswerBytes = std::size_t { 256 } * 1024;
// A large frame is handed to its link while less than this is unwritten there.
static constexpr std::size_t linkWindowBytes = std::size_t { 256 } * 1024;

// Returns what a message carries if it may wait, so that other messages pass it.
[[nodiscard]] static std::optional<large_frame_kind> largeFrameKind(const peer_message& message)
{
    if (std::holds_alternative<forward_request>(message))
        return large_frame_kind::request;
    if (std::holds_alternative<forward_answer>(message))
        return large_frame_kind::answer;
    return std::nullopt;
}

} // namespace internal

peer_hub::peer_hub(event_loop& loop, node_name self, const chart& linkChart, const peer_hub_settings& settings,
    peer_hub_handlers handlers)
    : m_loop { loop }
    , m_self { std::move(self) }
    , m_linkChart { linkChart }
    , m_settings { settings }
    , m_handlers { std::move(handlers) }
    , m_clock { system_time_source {} }
    , m_random { settings.seed }
    , m_listener { loop, internal::listenBacklog, [this](evutil_socket_t socket) { accept(socket); } }
    , m_checkTimer { loop, [this] { checkLinks(); } }
    , m_lastCheck { m_clock.now() }
    , m_isAlive { std::make_shared<bool>(true) }
{
    m_checkTimer.start(m_settings.pingInterval);
}

peer_hub::~peer_hub() { *m_isAlive = false; }

result<std::string> peer_hub::listen(const std::string& host, std::uint16_t port)
{
    return m_listener.listen(host, port);
}

peer_hub::link_record* peer_hub::find(std::uint64_t id)
{
    const auto position = m_links.find(id);
    return position == m_links.end() ? nullptr : position->second.get();
}

peer_hub::peer_record& peer_hub::findOrAddPeer(const node_name& name)
{
    return m_peers.try_emplace(name, m_linkChart).first->second;
}

std::size_t peer_hub::unwrittenBytes() const
{
    std::size_t bytes = 0;
    for (const std::pair<const std::uint64_t, std::unique_ptr<link_record>>& item : m_links)
        bytes += item.second->link->unwrittenBytes() + item.second->waiting.bytes();
    return bytes;
}

bool peer_hub::isPending(const node_name& peer, call_id call) const
{
    const auto position = m_peers.find(peer);
    return position != m_peers.end() && position->second.pendingCalls.count(call) != 0;
}

std::size_t peer_hub::waitingAnswerBytes() const
{
    std::size_t bytes = 0;
    for (const std::pair<const std::uint64_t, std::unique_ptr<link_record>>& item : m_links)
        bytes += item.second->waiting.answerBytes();
    return bytes;
}

peer_link_state peer_hub::linkState(const node_name& peer) const
{
    const auto position = m_peers.find(peer);
    return position == m_peers.end() ? peer_link_state::closed : position->second.state.state();
}

peer_hub::link_record* peer_hub::activeLink(const node_name& peer)
{
    const auto position = m_peers.find(peer);
    return position == m_peers.end() ? nullptr : find(position->second.activeLink);
}

std::vector<node_name> peer_hub::linkedPeers() const
{
    std::vector<node_name> names;
    for (const std::pair<const node_name, peer_record>& item : m_peers) {
        if (item.second.activeLink != 0)
            names.push_back(item.first);
    }
    return names;
}

// --- opening, accepting and closing links

peer_link_handlers peer_hub::makeLinkHandlers(std::uint64_t id)
{
    peer_link_handlers handlers;
    handlers.opened = [this, id] { onOpened(id); };
    handlers.received = [this, id](std::string_view frame) { onFrame(id, frame); };
    handlers.closed = [this, id](const link_end& end) { onClosed(id, end); };
    handlers.written = [this, id] {
        if (link_record* record = find(id))
            sendWaiting(*record);
    };
    return handlers;
}

void peer_hub::accept(evutil_socket_t socket)
{
    setKeepAlive(socket);
    std::unique_ptr<link_record> record = std::make_unique<link_record>();
    record->id = ++m_lastId;
    record->startedAt = m_clock.now();
    result<std::unique_ptr<peer_link>> link = peer_link::accept(m_loop, socket, makeLinkHandlers(record->id));
    if (!hasValue(link))
        return;
    record->link = valueOf(std::move(link));
    m_links.emplace(record->id, std::move(record));
}

std::uint64_t peer_hub::connect(const node_name& peer, const std::string& address, link_purpose purpose)
{
    std::unique_ptr<link_record> record = std::make_unique<link_record>();
    record->id = ++m_lastId;
    record->startedAt = m_clock.now();
    record->isOutgoing = true;
    record->isReplacement = purpose == link_purpose::replacement;
    record->expectedPeer = peer;
    record->address = address;
    result<std::unique_ptr<peer_link>> link
        = peer_link::connect(m_loop, address, purpose, makeLinkHandlers(record->id));
    if (!hasValue(link)) {
        log(log_level::warning, "link_failed", *record, errorOf(link).message);
        return 0;
    }
    record->link = valueOf(std::move(link));
    const std::uint64_t id = record->id;
    m_links.emplace(id, std::move(record));
    return id;
}

void peer_hub::open(const open_link& action)
{
    if (m_isShuttingDown || action.peer == m_self)
        return;
    if (action.peer.empty()) {
        connect({}, action.address, link_purpose::regular);
        return;
    }
    peer_record& peer = findOrAddPeer(action.peer);
    peer.shouldStayOpen = true;
    if (peer.address != action.address) {
        peer.address = action.address;
        peer.connectFailures = 0;
    }
    reconnect(action.peer);
}

void peer_hub::reconnect(const node_name& name)
{
    peer_record& peer = findOrAddPeer(name);
    if (m_isShuttingDown || !peer.shouldStayOpen || peer.activeLink != 0 || peer.outgoingLink != 0)
        return;
    peer.state.fire(peer_link_event::connect);
    peer.outgoingLink = connect(name, peer.address, link_purpose::regular);
    if (peer.outgoingLink != 0)
        return;
    peer.state.fire(peer_link_event::connect_failed);
    scheduleReconnect(name);
}

void peer_hub::scheduleReconnect(const node_name& name)
{
    constexpr std::uint32_t maxDoublings = 16;
    peer_record& peer = findOrAddPeer(name);
    if (m_isShuttingDown || !peer.shouldStayOpen)
        return;
    if (!peer.retryTimer)
        peer.retryTimer = std::make_unique<loop_timer>(m_loop, [this, name] { reconnect(name); });
    const milliseconds delay
        = std::min(m_settings.initialBackoff * (std::int64_t { 1 } << std::min(peer.connectFailures, maxDoublings)),
            m_settings.maxBackoff);
    std::uniform_real_distribution<double> jitter { 0.5, 1.0 };
    ++peer.connectFailures;
    peer.retryTimer->start(milliseconds::fromFraction(delay.count() * jitter(m_random)));
}

void peer_hub::replace(const replace_link& action)
{
    peer_record& peer = findOrAddPeer(action.peer);
    if (!action.address.empty())
        peer.address = action.address;
    startReplacement(action.peer);
}

void peer_hub::startReplacement(const node_name& name)
{
    peer_record& peer = findOrAddPeer(name);
    const bool hasReplacement = peer.graceTimer && peer.graceTimer->isRunning();
    if (m_isShuttingDown || hasReplacement || peer.outgoingLink != 0 || peer.address.empty())
        return;
    if (peer.activeLink == 0) {
        reconnect(name);
        return;
    }
    peer.outgoingLink = connect(name, peer.address, link_purpose::replacement);
}

void peer_hub::close(const close_link& action)
{
    const auto position = m_peers.find(action.peer);
    if (position == m_peers.end())
        return;
    peer_record& peer = position->second;
    peer.shouldStayOpen = false;
    if (peer.retryTimer)
        peer.retryTimer->stop();
    if (link_record* opening = find(peer.outgoingLink))
        opening->link->abort("no longer wanted");
    peer.outgoingLink = 0;
    if (link_record* active = find(peer.activeLink))
        closeActiveLink(*active, "no longer wanted");
}

void peer_hub::reset()
{
    m_peers.clear();
    m_undeliverableCalls.clear();
    for (const std::pair<const std::uint64_t, std::unique_ptr<link_record>>& item : m_links) {
        item.second->isDetached = true;
        item.second->phase = link_phase::retiring;
        item.second->startedAt = m_clock.now();
        item.second->link->close();
    }
}

void peer_hub::shutDown()
{
    m_isShuttingDown = true;
    m_listener.stop();
    for (const std::pair<const std::uint64_t, std::unique_ptr<link_record>>& item : m_links)
        item.second->link->close();
}

// --- link events

void peer_hub::onOpened(std::uint64_t id)
{
    link_record* record = find(id);
    if (record == nullptr || record->isDetached)
        return;
    record->isReplacement = record->link->purpose() == link_purpose::replacement;
    const hello_message hello = m_handlers.makeHello();
    m_dataCentre = hello.data_centre;
    sendMessage(*record, hello, std::nullopt);
}

void peer_hub::onFrame(std::uint64_t id, std::string_view frame)
{
    link_record* record = find(id);
    if (record == nullptr || record->isDetached)
        return;
    result<peer_message> message = decode(frame);
    if (!hasValue(message)) {
        onUnreadableFrame(*record, frame, errorOf(message));
        return;
    }
    record->isReplyExpected = false;
    const hello_message* hello = std::get_if<hello_message>(&valueOf(message));
    const bool isFirst = !record->hello;
    if (isFirst != (hello != nullptr)) {
        log(log_level::warning, "invalid_message", *record, "hello must be the first message, and only the first");
        record->link->abort("hello message missing or repeated");
        return;
    }
    if (hello != nullptr)
        onHello(*record, *hello);
    else
        onMessage(*record, valueOf(std::move(message)));
}

// A message of one call that cannot be read is answered for that call. The link, with all other calls on it, ends only
// if it is unknown which call the message belongs to.
void peer_hub::onUnreadableFrame(link_record& record, std::string_view frame, const error& reason)
{
    const std::optional<message_subject> subject = subjectOfFrame(frame);
    log(log_level::warning, "invalid_message", record,
        subject ? "kind " + subject->kind + ": " + reason.message : reason.message);
    const bool isCallUnknown = !subject || (concernsCall(*subject) && !subject->call);
    if (!record.hello || isCallUnknown || subject->kind == kindOf(hello_message {})) {
        record.link->abort(reason.message);
        return;
    }
    ++m_faults.unreadableMessages;
    record.isReplyExpected = false;
    if (const std::optional<peer_message> refusal = refuseUntransferred(*subject))
        sendMessage(record, *refusal, std::nullopt);
    else if (std::optional<peer_message> failure = failUntransferred(*subject))
        onMessage(record, std::move(*failure));
}

void peer_hub::onHello(link_record& record, const hello_message& hello)
{
    const bool isExpected = record.expectedPeer.empty() || record.expectedPeer == hello.node;
    if (hello.node == m_self || !isExpected) {
        log(log_level::warning, "unexpected_peer", record, "the peer at this address is node " + hello.node);
        record.link->abort("the peer is not the expected node");
        return;
    }
    record.hello = hello;
    peer_record& peer = findOrAddPeer(hello.node);
    if (peer.address.empty())
        peer.address = hello.peerAddress;
    if (peer.outgoingLink == record.id)
        peer.outgoingLink = 0;
    link_record* existing = find(peer.activeLink);
    if (existing == nullptr)
        activate(record);
    else if (existing->hello->incarnation != hello.incarnation)
        replaceActiveLink(record);
    else if (record.isReplacement)
        makeStandby(record);
    else
        resolveDuplicate(*existing, record);
}

void peer_hub::onMessage(link_record& record, peer_message message)
{
    record.hasCarriedMessages = true;
    if (record.phase == link_phase::standby)
        replaceActiveLink(record);
    if (const ping_message* ping = std::get_if<ping_message>(&message)) {
        record.link->send(valueOf(encode(pong_message { ping->sequence })), std::nullopt);
        return;
    }
    if (const pong_message* pong = std::get_if<pong_message>(&message)) {
        onPong(record, *pong);
        return;
    }
    if (const std::optional<call_id> answered = answeredCall(message))
        findOrAddPeer(record.hello->node).pendingCalls.erase(*answered);
    if (const cancel_message* cancel = std::get_if<cancel_message>(&message))
        record.waiting.erase(large_frame_kind::answer, cancel->id);
    if (const forward_answer_grant* grant = std::get_if<forward_answer_grant>(&message)) {
        record.waiting.grant(grant->id);
        sendWaiting(record);
        return;
    }
    m_handlers.deliver(message_received { record.hello->node, std::move(message) });
}

void peer_hub::onPong(link_record& record, const pong_message& pong)
{
    const std::uint64_t behind = record.pingSequence - pong.sequence;
    if (behind >= record.unansweredPings)
        return;
    record.unansweredPings = static_cast<std::uint32_t>(behind);
    if (record.phase != link_phase::active)
        return;
    peer_link_instance& state = findOrAddPeer(record.hello->node).state;
    const bool wasSuspected = state.state() != peer_link_state::open;
    state.fire(peer_link_event::pong_received);
    if (wasSuspected && state.state() == peer_link_state::open)
        reportSuspicion(record.hello->node, false);
}

void peer_hub::reportSuspicion(const node_name& peer, bool isSuspected) const
{
    if (m_handlers.suspected)
        m_handlers.suspected(peer, isSuspected);
}

void peer_hub::onClosed(std::uint64_t id, const link_end& end)
{
    link_record* record = find(id);
    if (record == nullptr)
        return;
    log(log_level::info, "link_ended", *record, end.reason);
    const node_name name = record->hello ? record->hello->node : record->expectedPeer;
    if (name.empty() || record->isDetached) {
        removeLink(id);
        return;
    }
    peer_record& peer = findOrAddPeer(name);
    const bool wasOpening = peer.outgoingLink == id;
    if (wasOpening)
        peer.outgoingLink = 0;
    const bool wasReplacing = peer.state.state() == peer_link_state::replacing;
    if (wasOpening && (peer.activeLink == 0 || (wasReplacing && record->isReplacement)))
        peer.state.fire(peer_link_event::connect_failed);
    link_record* active = find(peer.activeLink);
    const bool wasReplacement = wasOpening && record->isReplacement;
    const bool isLossy = record->phase == link_phase::retiring && !end.isClean;
    if (active == record) {
        closeActiveLink(*record, end.reason);
    } else if (wasReplacement && active != nullptr && wasReplacing) {
        closeActiveLink(*active, "no response to pings, and the replacement link could not be opened");
    } else if (isLossy && active != nullptr && record->hasCarriedMessages) {
        // The link may have carried pending calls or their answers, and it is unknown which.
        calls_lost event { name, {}, unwrittenCalls(*record) };
        // Those that wait for their turn on the active link have been on no link yet.
        const std::vector<call_id> waiting = active->waiting.requestedCalls();
        for (const call_id call : waiting)
            peer.pendingCalls.erase(call);
        event.lost.assign(peer.pendingCalls.begin(), peer.pendingCalls.end());
        peer.pendingCalls = { waiting.begin(), waiting.end() };
        m_handlers.deliver(std::move(event));
    }
    removeLink(id);
    if (peer.activeLink == 0)
        activateStandby(name);
    if (peer.activeLink == 0 && peer.outgoingLink == 0)
        scheduleReconnect(name);
    if (!peer.shouldStayOpen && peer.activeLink == 0 && peer.outgoingLink == 0)
        m_peers.erase(name);
}

void peer_hub::activateStandby(const node_name& name)
{
    for (const std::pair<const std::uint64_t, std::unique_ptr<link_record>>& item : m_links) {
        link_record& candidate = *item.second;
        if (candidate.phase != link_phase::standby || candidate.hello->node != name)
            continue;
        activate(candidate);
        return;
    }
}

void peer_hub::removeLink(std::uint64_t id)
{
    const auto position = m_links.find(id);
    if (position == m_links.end())
        return;
    // The link may still be on the call stack, so it is destroyed later, from the loop.
    std::shared_ptr<link_record> kept { std::move(position->second) };
    m_links.erase(position);
    m_loop.post([kept] { static_cast<void>(kept); });
}

// --- selection of the active link

void peer_hub::activate(link_record& record)
{
    const node_name name = record.hello->node;
    record.phase = link_phase::active;
    record.hasCarriedMessages = true;
    peer_record& peer = findOrAddPeer(name);
    peer.activeLink = record.id;
    peer.state.fire(peer_link_event::opened);
    peer.connectFailures = 0;
    if (peer.retryTimer)
        peer.retryTimer->stop();
    log(log_level::info, "link_opened", record, record.isOutgoing ? "opened by this node" : "opened by the peer");
    m_handlers.deliver(link_opened { *record.hello });
}

void peer_hub::makeStandby(link_record& record)
{
    record.phase = link_phase::standby;
    if (!record.isOutgoing)
        return;
    const node_name name = record.hello->node;
    peer_record& peer = findOrAddPeer(name);
    if (!peer.graceTimer)
        peer.graceTimer = std::make_unique<loop_timer>(m_loop, [this, name] { onGracePeriodExpired(name); });
    peer.graceTimer->start(m_settings.replacementGracePeriod);
}

void peer_hub::onGracePeriodExpired(const node_name& name)
{
    link_record* active = activeLink(name);
    for (const std::pair<const std::uint64_t, std::unique_ptr<link_record>>& item : m_links) {
        link_record& candidate = *item.second;
        const bool isCandidate
            = candidate.phase == link_phase::standby && candidate.isOutgoing && candidate.hello->node == name;
        if (!isCandidate)
            continue;
        if (active != nullptr && linkState(name) == peer_link_state::open) {
            // The peer was only stalled: it responds on both links again, and the calls on the old link are not lost.
            retire(candidate);
            return;
        }
        replaceActiveLink(candidate);
        // The first message after the hello makes the peer activate the replacement as well.
        sendMessage(candidate, ping_message { ++candidate.pingSequence }, std::nullopt);
        ++candidate.unansweredPings;
        return;
    }
}

void peer_hub::replaceActiveLink(link_record& replacement)
{
    if (link_record* old = activeLink(replacement.hello->node))
        closeActiveLink(*old, "replaced");
    if (findOrAddPeer(replacement.hello->node).activeLink == 0)
        activate(replacement);
}

void peer_hub::closeActiveLink(link_record& old, std::string_view reason)
{
    const node_name name = old.hello->node;
    peer_record& peer = findOrAddPeer(name);
    const std::vector<call_id> unwritten = unwrittenCalls(old);
    old.waiting.clear();
    old.phase = link_phase::retiring;
    peer.activeLink = 0;
    peer.state.fire(peer_link_event::closed);
    ++m_faults.endedLinks;
    m_faults.endedCalls += peer.pendingCalls.size();
    m_faults.unwrittenCalls += unwritten.size();
    if (!peer.pendingCalls.empty()) {
        log(log_level::warning, "link_calls_ended", old,
            std::string { reason } + "; calls: " + std::to_string(peer.pendingCalls.size())
                + ", not written: " + std::to_string(unwritten.size()));
    }
    peer.pendingCalls.clear();
    if (unwritten.empty() && reason == "no longer wanted")
        old.link->close();
    else
        old.link->abort(reason);
    m_handlers.deliver(link_closed { name, unwritten });
}

void peer_hub::retire(link_record& record)
{
    record.phase = link_phase::retiring;
    record.startedAt = m_clock.now();
    if (record.isOutgoing)
        record.link->close();
}

void peer_hub::resolveDuplicate(link_record& existing, link_record& added)
{
    if (existing.isOutgoing == added.isOutgoing) {
        // The same side opened both, so it no longer uses the existing link.
        replaceActiveLink(added);
        return;
    }
    const bool isAddedPreferred = added.isOutgoing == (m_self < added.hello->node);
    if (!isAddedPreferred) {
        retire(added);
        return;
    }
    peer_record& peer = findOrAddPeer(added.hello->node);
    added.phase = link_phase::active;
    added.hasCarriedMessages = true;
    peer.activeLink = added.id;
    peer.state.fire(peer_link_event::opened);
    added.waiting.append(existing.waiting);
    retire(existing);
    // The peer may have lost the offers on the link that is closed.
    for (const forward_answer_offer& offer : added.waiting.offers())
        sendMessage(added, offer, std::nullopt);
    sendWaiting(added);
}

// --- sending

void peer_hub::send(const send_to_peer& action)
{
    const std::optional<call_id> call = requestedCall(action.message);
    link_record* record = activeLink(action.peer);
    if (record == nullptr) {
        if (call)
            reportUnwritten(action.peer, *call);
        return;
    }
    if (call)
        findOrAddPeer(action.peer).pendingCalls.insert(*call);
    if (const cancel_message* cancel = std::get_if<cancel_message>(&action.message)) {
        findOrAddPeer(action.peer).pendingCalls.erase(cancel->id);
        record->waiting.erase(large_frame_kind::request, cancel->id);
    }
    record->isReplyExpected = true;
    const std::vector<peer_message> parts = splitReport(action.message);
    for (const peer_message& part : parts)
        sendMessage(*record, part, std::nullopt);
    if (parts.empty())
        sendMessage(*record, action.message, call);
}

void peer_hub::sendMessage(link_record& record, const peer_message& message, std::optional<call_id> call)
{
    result<std::string> encoded = encode(message);
    if (!hasValue(encoded)) {
        onUntransferable(record, message, errorOf(encoded));
        return;
    }
    std::string frame = valueOf(std::move(encoded));
    sent_message_counts& counts = m_sentByKind[kindOf(message)];
    ++counts.messages;
    counts.bytes += frame.size();
    counts.remoteBytes += record.hello && record.hello->data_centre != m_dataCentre ? frame.size() : 0U;
    const std::optional<large_frame_kind> kind = internal::largeFrameKind(message);
    if (!kind || frame.size() <= internal::largeFrameBytes) {
        record.link->send(frame, call);
        return;
    }
    const call_id subject = *subjectOf(message).call;
    const bool isOffered = *kind == large_frame_kind::answer && record.hello && record.hello->grantsAnswers
        && frame.size() > internal::maxUnofferedAnswerBytes;
    if (isOffered)
        sendMessage(record, forward_answer_offer { subject, frame.size() }, std::nullopt);
    record.waiting.push(large_frame { *kind, subject, std::move(frame), isOffered });
    sendWaiting(record);
}

void peer_hub::sendWaiting(link_record& record)
{
    while (record.link->unwrittenBytes() < internal::linkWindowBytes) {
        const std::optional<large_frame> frame = record.waiting.pop();
        if (!frame)
            return;
        const bool isRequest = frame->kind == large_frame_kind::request;
        record.link->send(frame->bytes, isRequest ? std::optional<call_id> { frame->call } : std::nullopt);
    }
}

std::vector<call_id> peer_hub::unwrittenCalls(const link_record& record)
{
    std::vector<call_id> calls = record.link->unwrittenCalls();
    const std::vector<call_id> waiting = record.waiting.requestedCalls();
    calls.insert(calls.end(), waiting.begin(), waiting.end());
    return calls;
}

void peer_hub::onUntransferable(link_record& record, const peer_message& message, const error& reason)
{
    const message_subject subject = subjectOf(message);
    ++m_faults.untransferableMessages;
    log(log_level::warning, "message_not_sent", record, "kind " + subject.kind + ": " + reason.message);
    if (std::optional<peer_message> refusal = refuseUntransferred(subject)) {
        findOrAddPeer(record.hello->node).pendingCalls.erase(*subject.call);
        deliverLater(record.hello->node, std::move(*refusal));
    } else if (const std::optional<peer_message> failure = failUntransferred(subject)) {
        sendMessage(record, *failure, std::nullopt);
    }
}

void peer_hub::deliverLater(const node_name& peer, peer_message message)
{
    // The owner may not be ready for an event while it sends.
    m_loop.post([this, isAlive = m_isAlive, event = message_received { peer, std::move(message) }]() mutable {
        if (*isAlive)
            m_handlers.deliver(std::move(event));
    });
}

void peer_hub::reportUnwritten(const node_name& peer, call_id call)
{
    std::vector<call_id>& calls = m_undeliverableCalls[peer];
    calls.push_back(call);
    if (calls.size() > 1)
        return;
    m_loop.post([this, isAlive = m_isAlive, peer] {
        if (!*isAlive)
            return;
        const auto position = m_undeliverableCalls.find(peer);
        if (position == m_undeliverableCalls.end())
            return;
        const std::vector<call_id> unwritten = std::move(position->second);
        m_undeliverableCalls.erase(position);
        // A link may have been opened in the meantime, and the peer's first messages on it must not be forgotten.
        if (activeLink(peer) == nullptr)
            m_handlers.deliver(link_closed { peer, unwritten });
        else
            m_handlers.deliver(calls_lost { peer, {}, unwritten });
    });
}

// --- liveness checks

void peer_hub::checkLinks()
{
    const time_point now = m_clock.now();
    // After a pause of this process, pongs of the peers may still be unread.
    const bool wasPaused = now - m_lastCheck > m_settings.pingInterval * 2;
    m_lastCheck = now;
    m_checkTimer.start(m_settings.pingInterval);
    std::vector<std::uint64_t> ids;
    for (const std::pair<const std::uint64_t, std::unique_ptr<link_record>>& item : m_links)
        ids.push_back(item.first);
    for (const std::uint64_t id : ids) {
        link_record* record = find(id);
        if (record == nullptr)
            continue;
        const bool isOverdue = now - record->startedAt > m_settings.openTimeout;
        const bool isTemporary = record->phase == link_phase::opening || record->phase == link_phase::retiring;
        if (isTemporary && isOverdue)
            record->link->abort("opening or closing the link timed out");
        else if (record->phase == link_phase::active && !wasPaused)
            checkLiveness(*record);
    }
}

void peer_hub::checkLiveness(link_record& record)
{
    const node_name& name = record.hello->node;
    const bool isChecked
        = record.unansweredPings > 0 || record.isReplyExpected || !findOrAddPeer(name).pendingCalls.empty();
    if (!isChecked)
        return;
    peer_record& peer = findOrAddPeer(name);
    if (record.unansweredPings > 0) {
        peer.state.fire(peer_link_event::ping_missed);
        reportSuspicion(name, true);
    }
    if (peer.state.state() == peer_link_state::replacing && peer.outgoingLink == 0) {
        log(log_level::warning, "link_silent", record,
            "the peer does not respond to pings; opening a replacement link");
        startReplacement(name);
    }
    ++record.unansweredPings;
    sendMessage(record, ping_message { ++record.pingSequence }, std::nullopt);
}

void peer_hub::log(log_level level, std::string_view event, const link_record& record, std::string_view detail)
{
    if (!m_handlers.log)
        return;
    write_log line;
    line.level = level;
    line.event = std::string { event };
    line.fields.emplace_back("peer", record.hello ? record.hello->node : record.expectedPeer);
    line.fields.emplace_back("address", record.address);
    line.fields.emplace_back("detail", std::string { detail });
    m_handlers.log(std::move(line));
}

} // namespace knapweedcroft
