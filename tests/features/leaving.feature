Feature: a daemon that leaves cuts nothing off and gets no new work

  Background:
    Given dispatch on 2 endpoints in two regions

  Scenario: SIGTERM with requests in progress on both sides
    Given a request takes 700 ms on dispatch-0
    And a request takes 700 ms on dispatch-1
    When 2 bookings are sent to dispatch-0
    And 2 bookings are sent to dispatch-1
    And 4 bookings run
    And the daemon of dispatch-1 is told to stop
    Then the booking is answered served
    And the booking ran 1 times
    And the daemon of dispatch-1 ends with status 0

  Scenario: no booking is lost or unknown while a daemon leaves
    Given a request takes 20 ms on dispatch-1
    When bookings keep coming to dispatch-0
    And the daemon of dispatch-1 is told to stop
    Then the daemon of dispatch-1 ends with status 0
    And every booking that came was answered served or not-run
    And every booking that came ran as often as its answer allows

  Scenario: no new work 3 s after the platform lists a leaving endpoint
    When bookings keep coming to dispatch-0
    And the platform lists dispatch-1 as leaving
    And 3000 ms pass
    Then nothing new runs on dispatch-1

  Scenario: a drain that would not end is ended by the second deadline
    Given daemons that drain for 500 ms
    And the platform lists dispatch-0 as leaving
    And a request takes 20000 ms on dispatch-1
    When a booking is sent to dispatch-1 for 20000 ms
    And the daemon of dispatch-1 is told to stop
    Then the daemon of dispatch-1 ends with status 1
