Feature: a leaving daemon finishes its requests and gets no new ones

  Background:
    Given a service dispatch with 2 endpoints in two regions

  Scenario: SIGTERM while both daemons have requests in progress
    Given a request takes 700 ms on dispatch-0
    And a request takes 700 ms on dispatch-1
    When 2 bookings are sent to dispatch-0
    And 2 bookings are sent to dispatch-1
    And 4 bookings are running
    And the daemon of dispatch-1 receives SIGTERM
    Then the outcome of the booking is served
    And the booking ran 1 times
    And the daemon of dispatch-1 exits with status 0

  Scenario: no booking is lost or has an unknown outcome while a daemon leaves
    Given a request takes 20 ms on dispatch-1
    When bookings are sent to dispatch-0 continuously
    And the daemon of dispatch-1 receives SIGTERM
    Then the daemon of dispatch-1 exits with status 0
    And the outcome of every booking is served or not-run
    And the number of runs of every booking agrees with its outcome

  Scenario: no new booking runs 3 s after the platform lists an endpoint as leaving
    When bookings are sent to dispatch-0 continuously
    And the platform lists dispatch-1 as leaving
    And 3000 ms pass
    Then no new booking runs on dispatch-1

  Scenario: a drain that does not finish is ended after the drain limit and a margin
    Given daemons with a drain limit of 500 ms
    And the platform lists dispatch-0 as leaving
    And a request takes 20000 ms on dispatch-1
    When a booking is sent to dispatch-1 with a deadline of 20000 ms
    And the daemon of dispatch-1 receives SIGTERM
    Then the daemon of dispatch-1 exits with status 1
