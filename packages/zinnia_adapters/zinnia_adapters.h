#pragma once

/** Everything that touches the outside: HTTP, TCP and UDP links, settings, the operators' language,
    threads. Implements the interfaces of zinnia_decisions' ports. Depends on zinnia_decisions. */
