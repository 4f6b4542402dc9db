#include "../harness-2/booking_clients.hpp"
#include "../harness-2/chunked_backend.hpp"

namespace knapweedcroft::review {

// An empty body in chunks, whose final empty line comes in a packet of its own: first in a request, then in an answer.
static int play(deployment& played)
{
    machine& first = played.addMachine("sidecar-varna-port-1", "varna-port", "logbook");
    machine& second = played.addMachine("sidecar-varna-port-2", "varna-port", "registry");
    machine& third = played.addMachine("sidecar-galata-1", "galata", "registry");
    const milliseconds pause = isTroubled() ? milliseconds { 50 } : milliseconds {};
    chunked_backend chunked { played.loop, played.record, first, "i-1a", pause };
    backend_stand_in two { played.loop, played.record, second, "i-2a" };
    backend_stand_in three { played.loop, played.record, third, "i-3a" };
    for (backend_stand_in* backend : { &two, &three })
        backend->onArrival = [](const backend_arrival&, const opaque_request&) { return milliseconds { 500 }; };
    played.writeConfiguration(1,
        nlohmann::json::array({ makeRoute("book", "/book/", "registry", "unsafe"),
            makeRoute("history", "/history/", "logbook", "safe") }));
    for (const std::unique_ptr<machine>& host : played.machines)
        played.start(*host);
    played.wait(milliseconds { 500 });
    two.start();
    three.start();
    if (!played.awaitReady(milliseconds { 15'000 }))
        return 2;
    played.wait(milliseconds { 4000 });

    std::size_t ends = 0;
    std::function<void()> supervise = [&] {
        for (const std::unique_ptr<machine>& host : played.machines) {
            if (host->process <= 0 || played.isRunning(*host))
                continue;
            ++ends;
            played.after(milliseconds { 500 }, [&played, target = host.get()] { played.start(*target); });
        }
        played.after(milliseconds { 20 }, supervise);
    };
    supervise();
    booking_clients bookings { played, { &two, &three } };
    bookings.open(first, 8);
    played.wait(milliseconds { 2250 });

    // A client of the first machine.
    kept_connection client { played.loop, played.record, first, "c" };
    client.sendChunkedEmpty("/book/1", pause);
    played.wait(milliseconds { 5000 });
    const std::size_t lostByRequest = bookings.lost;
    played.record.write("check: the request in chunks " + std::string { client.isAnswered ? "was" : "was not" }
        + " answered; " + std::to_string(ends) + " processes ended by themselves, " + std::to_string(lostByRequest)
        + " kept connections ended without an answer to a booking that a backend ran");

    if (lostByRequest > 0) {
        bookings.open(first, 8);
        played.wait(milliseconds { 2250 });
    }
    // A client of the third machine asks the backend that answers in chunks.
    played.send(third, "GET", "/history/1");
    played.wait(milliseconds { 5000 });
    played.record.write("check: with the answer in chunks, " + std::to_string(ends)
        + " processes ended by themselves, " + std::to_string(bookings.lost)
        + " kept connections ended without an answer to a booking that a backend ran; "
        + std::to_string(bookings.answered) + " bookings were answered");
    return bookings.lost > 3 ? 1 : 0;
}

} // namespace knapweedcroft::review

int main(int count, char** values)
{
    return knapweedcroft::review::runCase(count, values, knapweedcroft::review::play);
}
