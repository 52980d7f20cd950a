Feature: the number of runs agrees with the outcome when a daemon is paused

  Background:
    Given a service dispatch with 2 endpoints in two regions
    And the platform lists dispatch-0 as leaving
    And a booking sent to dispatch-0 gets the outcome served

  Scenario: the remote daemon is paused for less than the deadline
    When the daemon of dispatch-1 is paused
    And a booking is sent to dispatch-0
    And 700 ms pass
    And the daemon of dispatch-1 is resumed
    Then the outcome of the booking is served, not-run or unknown
    And the number of runs of the booking agrees with its outcome

  Scenario: the remote daemon is paused past the deadline
    When the daemon of dispatch-1 is paused
    And a booking is sent to dispatch-0
    Then the outcome of the booking is unknown
    When the daemon of dispatch-1 is resumed
    Then the booking ran at most once
    And its ticket sent to dispatch-0 gets an outcome that agrees with its runs

  Scenario: the local daemon is paused past the deadline
    Given a request takes 300 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking is running on dispatch-1
    And the daemon of dispatch-0 is paused
    And 2500 ms pass
    And the daemon of dispatch-0 is resumed
    Then the outcome of the booking is served or unknown
    And the booking ran 1 times

  Scenario: the remote daemon is paused while the booking waits for a slot
    Given a request takes 800 ms on dispatch-1
    When 3 bookings are sent to dispatch-0
    And the booking is running on dispatch-1
    And the daemon of dispatch-1 is paused
    And 2500 ms pass
    And the daemon of dispatch-1 is resumed
    Then the outcome of the booking is served, not-run or unknown
    And the number of runs of the booking agrees with its outcome
